#define BOOST_TEST_MODULE DutyCandidacy
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <LibPooler/DutyCandidacy.h>

using namespace std::chrono_literals;
using Pooler::DutyCandidacy;
using Pooler::Member;

namespace {

constexpr double kSmall = 0.12;
constexpr double kLarge = 0.5;

Member
MakeMember(int aIndex, double aProcessors)
{
  Member member;
  member.name = "m" + std::to_string(aIndex);
  member.incarnation = "1";
  member.addresses = { { "127.0.0.1", 1 },
                       { "127.0.0.1", 2 },
                       { "127.0.0.1", 3 } };
  member.processors = aProcessors;
  return member;
}

void
Add(Pooler::MemberRoster& aRoster, const Member& aMember)
{
  Core::LastReason reason;
  BOOST_REQUIRE(aRoster.Apply(Pooler::MemberRoster::RowOf(aMember), reason));
}

constexpr std::size_t kLargeVMs = 19;

/** A fleet with a few large VMs among many small ones. */
std::vector<Member>
LargeFleet()
{
  std::vector<Member> fleet;
  fleet.reserve(295);
  for (int i = 0; i < 295; ++i)
    fleet.push_back(MakeMember(i, i % 16 == 5 ? kLarge : kSmall));
  return fleet;
}

struct DelayCase
{
  std::size_t rank;
  Core::Duration delay;
};

std::ostream&
operator<<(std::ostream& aStream, const DelayCase& aCase)
{
  return aStream << "rank " << aCase.rank;
}

const DelayCase kDelays[] = {
  { 0, 0ms },      { 3, 0ms },       { 4, 400ms },   { 7, 400ms },
  { 8, 800ms },    { 15, 800ms },    { 16, 1200ms }, { 63, 1600ms },
  { 294, 2800ms }, { 6999, 4400ms },
};

/** How long after the loss of the holder, and how many may act by then. */
struct VacancyCase
{
  Core::Duration after;
  int mayRead;
  int mayAcquire;
};

std::ostream&
operator<<(std::ostream& aStream, const VacancyCase& aCase)
{
  return aStream << Core::ToMilliseconds(aCase.after) << " ms";
}

const VacancyCase kVacancies[] = {
  { 0ms, 4, 0 },      { 399ms, 4, 0 },      { 400ms, 8, 4 },
  { 1200ms, 32, 16 }, { 2800ms, 295, 256 }, { 3200ms, 295, 295 },
};

} // namespace

BOOST_DATA_TEST_CASE(CohortsDouble, boost::unit_test::data::make(kDelays))
{
  BOOST_CHECK(DutyCandidacy::DelayOf(sample.rank) == sample.delay);
}

/**
 * All members of a large fleet start at once, or lose the holder at once. If
 * all of them asked for the lease and wrote it, neither the lease nor the
 * members' registrations would get through for seconds.
 */
BOOST_DATA_TEST_CASE(AFleetWithoutAHolderTriesInCohorts,
                     boost::unit_test::data::make(kVacancies))
{
  Pooler::MemberRoster roster;
  const std::vector<Member> fleet = LargeFleet();
  for (const Member& member : fleet)
    Add(roster, member);
  const Core::Instant lostAt(100s);
  int mayRead = 0;
  int mayAcquire = 0;
  for (const Member& member : fleet) {
    DutyCandidacy candidacy(member.name, member.processors);
    BOOST_TEST(!candidacy.MayRead(lostAt));
    candidacy.OnVacant(roster, lostAt);
    candidacy.OnVacant(roster, lostAt + sample.after);
    mayRead += candidacy.MayRead(lostAt + sample.after) ? 1 : 0;
    mayAcquire += candidacy.MayAcquire(lostAt + sample.after) ? 1 : 0;
  }
  BOOST_TEST(mayRead == sample.mayRead);
  BOOST_TEST(mayAcquire == sample.mayAcquire);
}

BOOST_AUTO_TEST_CASE(MembersWithMoreProcessorTimeComeFirst)
{
  Pooler::MemberRoster roster;
  const std::vector<Member> fleet = LargeFleet();
  for (const Member& member : fleet)
    Add(roster, member);
  for (const Member& member : fleet) {
    const std::size_t rank =
      DutyCandidacy::RankOf(member.name, member.processors, roster);
    BOOST_TEST((rank < kLargeVMs) == (member.processors == kLarge));
  }
}

BOOST_AUTO_TEST_CASE(ExpelledMembersAndEarlierProcessesHaveNoRank)
{
  Pooler::MemberRoster roster;
  Member expelled = MakeMember(1, kLarge);
  expelled.isExpelled = true;
  Add(roster, expelled);
  Member earlier = MakeMember(2, kLarge);
  earlier.incarnation = "0";
  Add(roster, earlier);
  BOOST_TEST(DutyCandidacy::RankOf("m2", kSmall, roster) == 0U);
}

BOOST_AUTO_TEST_CASE(AHolderEndsTheCandidacy)
{
  const Pooler::MemberRoster roster;
  DutyCandidacy candidacy("m", kSmall);
  candidacy.OnVacant(roster, Core::Instant(1s));
  BOOST_TEST(candidacy.MayAcquire(Core::Instant(2s)));
  candidacy.OnHolder();
  BOOST_TEST(!candidacy.MayRead(Core::Instant(3s)));
  candidacy.OnVacant(roster, Core::Instant(4s));
  BOOST_TEST(candidacy.MayRead(Core::Instant(4s)));
  BOOST_TEST(!candidacy.MayAcquire(Core::Instant(4s)));
}
