#define BOOST_TEST_MODULE LostMemberWrites
#include "MembershipFixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace Fakes;

namespace {

constexpr const char* kOther = "other#1";

/** The fate of what the holder writes of a silent member. */
struct LostCase
{
  const char* name;
  /** How many expulsions, and then removals, get no response. */
  int expulsions;
  int removals;
  std::optional<Core::Duration> doneAfter;
  /** The member registers again, and answers, when the write is on its way. */
  bool registersAgain;
};

std::ostream&
operator<<(std::ostream& aStream, const LostCase& aCase)
{
  return aStream << aCase.name;
}

const LostCase kLostCases[] = {
  { "an expulsion, done", 1, 0, 1ms, false },
  { "an expulsion, not done", 1, 0, std::nullopt, false },
  { "an expulsion, done late", 1, 0, 2s, false },
  { "an expulsion, overtaken", 1, 0, 500ms, true },
  { "a removal, done", 0, 1, 1ms, false },
  { "a removal, not done", 0, 1, std::nullopt, false },
  { "a removal, done late", 0, 1, 2s, false },
  { "a removal, overtaken", 0, 1, 500ms, true },
};

/** Until the fate: silence, and for a removal the authority's lease. */
constexpr Core::Duration kLongest = 3 * kLease;

class Fixture : public MembershipFixture
{
public:
  Fixture()
    : feed(time.Every(100ms, [this] { ApplyRows(); }))
  {
    AddMember(MakeMember("other"));
    deliveries[kOther] = PeerDelivery::Silent;
    membership.Register([] {});
  }

  bool IsListed() const
  {
    return rows.contains(Pooler::MemberRoster::RowOf(MakeMember("other")).key);
  }

  Core::TimerHandle feed;
};

} // namespace

/**
 * Guards against a silent member that stays among those that a change of
 * primary waits for, and against a member that has come back and is removed,
 * because the response to a write of its row was lost.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       ASilentMemberLeavesAlthoughAResponseIsLost,
                       boost::unit_test::data::make(kLostCases))
{
  AdvanceBy(100ms);
  lostWrites = sample.expulsions;
  lostRemovals = sample.removals;
  lostWriteDelay = sample.doneAfter;
  const Core::Instant end = time.Now() + kLongest;
  while (lostWrites + lostRemovals > 0 && time.Now() < end)
    AdvanceBy(10ms);
  BOOST_REQUIRE(lostWrites + lostRemovals == 0);
  if (sample.registersAgain) {
    AddMember(MakeMember("other"));
    deliveries[kOther] = PeerDelivery::Answered;
  }
  AdvanceBy(kLongest);
  BOOST_TEST(IsListed() == sample.registersAgain);
  const Member* other = membership.Roster().Find(kOther);
  BOOST_TEST((other != nullptr) == sample.registersAgain);
  BOOST_TEST((other == nullptr || !other->isExpelled));
}
