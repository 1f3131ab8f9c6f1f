#define BOOST_TEST_MODULE MemberTable
#include <LibMembership/MemberTable.h>
#include <LibMembership/Rendezvous.h>

#include <boost/test/unit_test.hpp>

using namespace Membership;
using std::chrono::milliseconds;

namespace {

Member
Named(const std::string& aName)
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
  MemberTable table{ Named("self"), 100, {}, random };
  Fixture()
  {
    table.SetListed({ Named("self"), Named("a"), Named("b") }, clock.Now());
  }
  bool Works(const std::string& aName) const
  {
    for (const Member& member : table.Working()) {
      if (member.name == aName)
        return true;
    }
    return false;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ASilentMemberIsDeadAfterAWhile, Fixture)
{
  table.OnSilent("a", clock.Now());
  BOOST_TEST(Works("a"));
  clock.Advance(milliseconds(900));
  table.NextToPing(clock.Now());
  BOOST_TEST(!Works("a"));
  table.OnHeard("a", clock.Now());
  BOOST_TEST(Works("a"));
}

BOOST_FIXTURE_TEST_CASE(ASuspicionOfItselfIsDenied, Fixture)
{
  table.Take({ Named("self"), MemberState::Suspect, 100 }, clock.Now());
  BOOST_TEST(table.OwnNews().incarnation == 101U);
  BOOST_CHECK(table.OwnNews().state == MemberState::Alive);
}

BOOST_FIXTURE_TEST_CASE(ALaterIncarnationWins, Fixture)
{
  table.Take({ Named("a"), MemberState::Left, 5 }, clock.Now());
  BOOST_TEST(!Works("a"));
  table.Take({ Named("a"), MemberState::Alive, 5 }, clock.Now());
  BOOST_TEST(!Works("a"));
  table.Take({ Named("a"), MemberState::Alive, 6 }, clock.Now());
  BOOST_TEST(Works("a"));
}

BOOST_FIXTURE_TEST_CASE(APauseOfItsOwnKillsNobody, Fixture)
{
  table.NextToPing(clock.Now());
  table.OnSilent("a", clock.Now());
  clock.Advance(milliseconds(5000));
  table.NextToPing(clock.Now());
  BOOST_TEST(Works("a"));
}

BOOST_FIXTURE_TEST_CASE(NewsIsToldSoOftenAndNoMore, Fixture)
{
  table.Take({ Named("a"), MemberState::Dead, 5 }, clock.Now());
  int told = 0;
  for (int i = 0; i < 100; ++i)
    told += static_cast<int>(table.NewsToTell().size());
  BOOST_TEST(told > 3);
  BOOST_TEST(told < 20);
}

BOOST_AUTO_TEST_CASE(AMemberThatGoesMovesOnlyItsOwnGroups)
{
  std::vector<Member> members;
  members.reserve(9);
  for (int i = 0; i < 9; ++i)
    members.push_back(Named("node-" + std::to_string(i)));
  std::vector<Member> fewer = members;
  fewer.erase(fewer.begin() + 4);
  for (int i = 0; i < 200; ++i) {
    const std::string group = "group-" + std::to_string(i);
    const std::string before = RankMembers(members, group)[0]->name;
    if (before != "node-4")
      BOOST_TEST(RankMembers(fewer, group)[0]->name == before);
  }
}
