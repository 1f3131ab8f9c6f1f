#define BOOST_TEST_MODULE GroupState
#include <LibEndpoint/GroupState.h>

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
  GroupState group{ { "a", "b", "c" } };
  Core::ManualClock clock;
  void Take(const std::string& aName, const DatabaseReport& aReport)
  {
    group.Take(aName, aReport, clock.Now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(MajorityInSameTermConfirms, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  BOOST_TEST(!group.IsConfirmed({ 1, 5 }));
  Take("b", Report(1, { 1, 4 }));
  BOOST_TEST(!group.IsConfirmed({ 1, 5 }));
  BOOST_TEST(group.IsConfirmed({ 1, 4 }));
  Take("b", Report(1, { 1, 5 }));
  BOOST_TEST(group.IsConfirmed({ 1, 5 }));
}

BOOST_FIXTURE_TEST_CASE(ReplicaThatPromisedLaterTermDoesNotConfirm, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  Take("b", Report(2, { 1, 5 }));
  Take("c", Report(2, { 1, 9 }));
  BOOST_TEST(!group.IsConfirmed({ 1, 5 }));
  BOOST_TEST(group.IsReplaced(1));
}

BOOST_FIXTURE_TEST_CASE(JoiningDatabaseDoesNotConfirm, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  DatabaseReport joining = Report(1, { 1, 5 });
  joining.isJoining = true;
  Take("b", joining);
  BOOST_TEST(!group.IsConfirmed({ 1, 5 }));
}

BOOST_FIXTURE_TEST_CASE(NewIdentityDiscardsEarlierConfirmations, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  Take("b", Report(1, { 1, 5 }));
  Take("b", Report(0, { 0, 0 }, false, "new"));
  BOOST_TEST(!group.IsConfirmed({ 1, 5 }));
  // A delayed report of the old identity has no effect.
  Take("b", Report(1, { 1, 5 }));
  BOOST_TEST(!group.IsConfirmed({ 1, 5 }));
}

BOOST_FIXTURE_TEST_CASE(ConfirmationSinceIgnoresEarlierReports, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  Take("b", Report(1, { 1, 5 }));
  clock.Advance(milliseconds(10));
  BOOST_TEST(!group.IsConfirmedSince({ 1, 5 }, clock.Now()));
  Take("a", Report(1, { 1, 5 }, true));
  Take("b", Report(1, { 1, 5 }));
  BOOST_TEST(group.IsConfirmedSince({ 1, 5 }, clock.Now()));
}

BOOST_FIXTURE_TEST_CASE(PrimaryIsOfHighestTerm, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  BOOST_TEST(group.Primary().value_or("") == "a");
  Take("b", Report(2, { 1, 5 }));
  // A later term is promised, so the old primary may have been replaced.
  BOOST_TEST(!group.Primary());
  Take("b", Report(2, { 2, 5 }, true));
  BOOST_TEST(group.Primary().value_or("") == "b");
}

BOOST_FIXTURE_TEST_CASE(AgeIsTimeSincePrimaryWasAtPosition, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  Take("b", Report(1, { 1, 5 }));
  clock.Advance(milliseconds(100));
  Take("a", Report(1, { 1, 8 }, true));
  Take("b", Report(1, { 1, 5 }));
  clock.Advance(milliseconds(30));
  BOOST_TEST(group.AgeOf({ 1, 5 }, clock.Now())->count() == 130'000);
  BOOST_TEST(group.AgeOf({ 1, 8 }, clock.Now())->count() == 30'000);
  BOOST_TEST(!group.AgeOf({ 1, 4 }, clock.Now()));
}

BOOST_FIXTURE_TEST_CASE(ReplacedPrimaryGivesNoAgeBound, Fixture)
{
  Take("a", Report(1, { 1, 5 }, true));
  clock.Advance(milliseconds(100));
  Take("b", Report(2, { 1, 5 }));
  Take("c", Report(2, { 1, 5 }));
  Take("a", Report(1, { 1, 6 }, true));
  BOOST_TEST(!group.AgeOf({ 1, 6 }, clock.Now()));
}

BOOST_FIXTURE_TEST_CASE(StaggeredPollsGiveAgeBound, Fixture)
{
  // Each database is polled again as soon as its long poll of 200 ms returns.
  // The replicas are always polled just before the primary.
  Core::Instant primaryRequestedAt = clock.Now() + milliseconds(1);
  Core::Instant replicasRequestedAt = clock.Now();
  for (int i = 0; i < 5; ++i) {
    clock.Advance(milliseconds(200));
    group.Take("b", Report(1, { 1, 5 }), replicasRequestedAt);
    group.Take("c", Report(1, { 1, 5 }), replicasRequestedAt);
    replicasRequestedAt = clock.Now();
    clock.Advance(milliseconds(1));
    group.Take("a", Report(1, { 1, 5 }, true), primaryRequestedAt);
    primaryRequestedAt = clock.Now();
  }
  const auto age = group.AgeOf({ 1, 5 }, clock.Now());
  BOOST_REQUIRE(age);
  BOOST_TEST(age->count() <= 410'000);
}

BOOST_FIXTURE_TEST_CASE(ThinnedSamplesStillBoundAges, Fixture)
{
  for (std::uint64_t i = 1; i <= 5000; ++i) {
    clock.Advance(milliseconds(20));
    Take("a", Report(1, { 1, i }, true));
    Take("b", Report(1, { 1, i }));
  }
  for (const std::uint64_t behind : { 1U, 10U, 100U, 1000U, 4000U }) {
    const auto age = group.AgeOf({ 1, 5000 - behind }, clock.Now());
    BOOST_REQUIRE(age);
    const Core::Duration exact = milliseconds(20) * static_cast<int>(behind);
    BOOST_TEST(age->count() >= exact.count());
    BOOST_TEST(age->count() <= exact.count() * 5 / 4 + 60'000);
  }
}
