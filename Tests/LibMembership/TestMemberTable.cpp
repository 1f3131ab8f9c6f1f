#define BOOST_TEST_MODULE MemberTable
#include <LibMembership/MemberTable.h>
#include <LibMembership/Rendezvous.h>

#include <boost/test/unit_test.hpp>

using namespace Membership;
using std::chrono::milliseconds;

namespace {

Member
MemberNamed(const std::string& aName)
{
  Member member;
  member.name = aName;
  member.agent = { "127.0.0.1", 1 };
  return member;
}

struct Fixture
{
  Core::Random random{ 1 };
  Core::ManualClock clock;
  MemberTable table{ MemberNamed("self"), 100, {}, random };
  Fixture()
  {
    table.SetListedMembers(
      { MemberNamed("self"), MemberNamed("a"), MemberNamed("b") }, clock.Now());
  }
  bool IsAvailable(const std::string& aName) const
  {
    for (const Member& member : table.AvailableMembers()) {
      if (member.name == aName)
        return true;
    }
    return false;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AnUnreachableMemberIsDeadAfterTheSuspectTimeout,
                        Fixture)
{
  table.OnUnreachable("a", clock.Now());
  BOOST_TEST(IsAvailable("a"));
  clock.Advance(milliseconds(900));
  table.NextToPing(clock.Now());
  BOOST_TEST(!IsAvailable("a"));
  table.OnReachable("a", clock.Now());
  BOOST_TEST(IsAvailable("a"));
}

BOOST_FIXTURE_TEST_CASE(ASuspicionOfItselfIsRefuted, Fixture)
{
  table.Take({ MemberNamed("self"), MemberState::Suspect, 100 }, clock.Now());
  BOOST_TEST(table.OwnUpdate().incarnation == 101U);
  BOOST_CHECK(table.OwnUpdate().state == MemberState::Alive);
}

BOOST_FIXTURE_TEST_CASE(AnUpdateOfAHigherIncarnationWins, Fixture)
{
  table.Take({ MemberNamed("a"), MemberState::Left, 5 }, clock.Now());
  BOOST_TEST(!IsAvailable("a"));
  table.Take({ MemberNamed("a"), MemberState::Alive, 5 }, clock.Now());
  BOOST_TEST(!IsAvailable("a"));
  table.Take({ MemberNamed("a"), MemberState::Alive, 6 }, clock.Now());
  BOOST_TEST(IsAvailable("a"));
}

BOOST_FIXTURE_TEST_CASE(APauseOfThisProcessDeclaresNoMemberDead, Fixture)
{
  table.NextToPing(clock.Now());
  table.OnUnreachable("a", clock.Now());
  clock.Advance(milliseconds(5000));
  table.NextToPing(clock.Now());
  BOOST_TEST(IsAvailable("a"));
}

BOOST_FIXTURE_TEST_CASE(AnUpdateIsSentALimitedNumberOfTimes, Fixture)
{
  table.Take({ MemberNamed("a"), MemberState::Dead, 5 }, clock.Now());
  int timesSent = 0;
  for (int i = 0; i < 100; ++i)
    timesSent += static_cast<int>(table.UpdatesToSend().size());
  BOOST_TEST(timesSent > 3);
  BOOST_TEST(timesSent < 20);
}

BOOST_AUTO_TEST_CASE(RemovingAMemberReassignsOnlyItsOwnGroups)
{
  std::vector<Member> members;
  members.reserve(9);
  for (int i = 0; i < 9; ++i)
    members.push_back(MemberNamed("node-" + std::to_string(i)));
  std::vector<Member> fewer = members;
  fewer.erase(fewer.begin() + 4);
  for (int i = 0; i < 200; ++i) {
    const std::string group = "group-" + std::to_string(i);
    const std::string before = RankMembers(members, group)[0]->name;
    if (before != "node-4")
      BOOST_TEST(RankMembers(fewer, group)[0]->name == before);
  }
}
