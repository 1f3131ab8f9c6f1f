#define BOOST_TEST_MODULE GroupBook
#include <LibEndpoint/GroupBook.h>

#include <boost/test/unit_test.hpp>

using namespace Endpoint;
using std::chrono::milliseconds;

namespace {

DatabaseReport
Report(Term aPromised,
       LogPosition aLog,
       bool aIsPrimary = false,
       const std::string& aIdentity = "x")
{
  DatabaseReport report;
  report.identity = aIdentity;
  report.promised = aPromised;
  report.log = aLog;
  report.isPrimary = aIsPrimary;
  return report;
}

struct Fixture
{
  GroupBook book{ { "a", "b", "c" } };
  Core::ManualClock clock;
  void Take(const std::string& aName, const DatabaseReport& aReport)
  {
    book.Take(aName, aReport, clock.Now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AMajorityUnderTheSameTermConfirms, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  BOOST_TEST(!book.IsConfirmed({ 1, 5 }));
  Take("b", Report(1, { 1, 4 }));
  BOOST_TEST(!book.IsConfirmed({ 1, 5 }));
  BOOST_TEST(book.IsConfirmed({ 1, 4 }));
  Take("b", Report(1, { 1, 5 }));
  BOOST_TEST(book.IsConfirmed({ 1, 5 }));
}

BOOST_FIXTURE_TEST_CASE(AReplicaThatPromisedLaterConfirmsNothing, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  Take("b", Report(2, { 1, 5 }));
  Take("c", Report(2, { 1, 9 }));
  BOOST_TEST(!book.IsConfirmed({ 1, 5 }));
  BOOST_TEST(book.IsReplaced(1));
}

BOOST_FIXTURE_TEST_CASE(AJoinerConfirmsNothing, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  DatabaseReport joiner = Report(1, { 1, 5 });
  joiner.isJoining = true;
  Take("b", joiner);
  BOOST_TEST(!book.IsConfirmed({ 1, 5 }));
}

BOOST_FIXTURE_TEST_CASE(ALostFileTakesItsConfirmationsAlong, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  Take("b", Report(1, { 1, 5 }));
  Take("b", Report(0, { 0, 0 }, false, "new"));
  BOOST_TEST(!book.IsConfirmed({ 1, 5 }));
  // An answer of the old identity that comes late changes nothing.
  Take("b", Report(1, { 1, 5 }));
  BOOST_TEST(!book.IsConfirmed({ 1, 5 }));
}

BOOST_FIXTURE_TEST_CASE(FreshConfirmationIgnoresOldAnswers, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  Take("b", Report(1, { 1, 5 }));
  clock.Advance(milliseconds(10));
  BOOST_TEST(!book.IsConfirmedSince({ 1, 5 }, clock.Now()));
  Take("a", Report(1, { 1, 5 }, true));
  Take("b", Report(1, { 1, 5 }));
  BOOST_TEST(book.IsConfirmedSince({ 1, 5 }, clock.Now()));
}

BOOST_FIXTURE_TEST_CASE(TheHighestTermLeads, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  BOOST_TEST(book.Primary().value_or("") == "a");
  Take("b", Report(2, { 1, 5 }));
  // A promise to a promoter makes the old primary doubtful, and nobody leads.
  BOOST_TEST(!book.Primary());
  Take("b", Report(2, { 2, 5 }, true));
  BOOST_TEST(book.Primary().value_or("") == "b");
}

BOOST_FIXTURE_TEST_CASE(AnAgeIsTheTimeSinceThePrimaryWasNoFurther, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  Take("b", Report(1, { 1, 5 }));
  clock.Advance(milliseconds(100));
  Take("a", Report(1, { 1, 8 }, true));
  Take("b", Report(1, { 1, 5 }));
  clock.Advance(milliseconds(30));
  BOOST_TEST(book.AgeOf({ 1, 5 }, clock.Now())->count() == 130'000);
  BOOST_TEST(book.AgeOf({ 1, 8 }, clock.Now())->count() == 30'000);
  BOOST_TEST(!book.AgeOf({ 1, 4 }, clock.Now()));
}

BOOST_FIXTURE_TEST_CASE(AnOldPrimaryProvesNoAge, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  clock.Advance(milliseconds(100));
  Take("b", Report(2, { 1, 5 }));
  Take("c", Report(2, { 1, 5 }));
  Take("a", Report(1, { 1, 6 }, true));
  BOOST_TEST(!book.AgeOf({ 1, 6 }, clock.Now()));
}

BOOST_FIXTURE_TEST_CASE(PollsOutOfStepStillProveAnAge, Fixture)
{
  // Each is asked again as soon as its long poll of 200 ms is answered, the
  // replicas always just before the primary.
  Core::Instant primaryAsked = clock.Now() + milliseconds(1);
  Core::Instant replicaAsked = clock.Now();
  for (int i = 0; i < 5; ++i) {
    clock.Advance(milliseconds(200));
    book.Take("b", Report(1, { 1, 5 }), replicaAsked);
    book.Take("c", Report(1, { 1, 5 }), replicaAsked);
    replicaAsked = clock.Now();
    clock.Advance(milliseconds(1));
    book.Take("a", Report(1, { 1, 5 }, true), primaryAsked);
    primaryAsked = clock.Now();
  }
  const auto age = book.AgeOf({ 1, 5 }, clock.Now());
  BOOST_REQUIRE(age);
  BOOST_TEST(age->count() <= 410'000);
}

BOOST_FIXTURE_TEST_CASE(ThinnedSamplesKeepAgesBoundedFromAbove, Fixture)
{
  for (std::uint64_t i = 1; i <= 5000; ++i) {
    clock.Advance(milliseconds(20));
    Take("a", Report(1, { 1, i }, true));
    Take("b", Report(1, { 1, i }));
  }
  for (const std::uint64_t behind : { 1U, 10U, 100U, 1000U, 4000U }) {
    const auto age = book.AgeOf({ 1, 5000 - behind }, clock.Now());
    BOOST_REQUIRE(age);
    const Core::Duration exact = milliseconds(20) * static_cast<int>(behind);
    BOOST_TEST(age->count() >= exact.count());
    BOOST_TEST(age->count() <= exact.count() * 5 / 4 + 60'000);
  }
}
