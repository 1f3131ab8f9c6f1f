#define BOOST_TEST_MODULE PoolOwners
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <LibPooler/PoolOwners.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>

using Pooler::Member;
using Pooler::OwnersOf;

namespace {

std::vector<Member>
Fleet(int aMembers, int aDataCentres)
{
  std::vector<Member> members;
  for (int i = 0; i < aMembers; ++i) {
    Member member;
    member.name = "vm-" + std::to_string(i);
    member.incarnation = "1";
    member.dataCentre = "dc-" + std::to_string(i % aDataCentres);
    members.push_back(member);
  }
  return members;
}

std::set<std::string>
NamesOf(const std::vector<Member>& aMembers)
{
  std::set<std::string> names;
  for (const Member& member : aMembers)
    names.insert(member.name);
  return names;
}

struct CountCase
{
  int members;
  int dataCentres;
  int usable;
  std::size_t owners;
};

std::ostream&
operator<<(std::ostream& aStream, const CountCase& aCase)
{
  return aStream << aCase.members << " members, " << aCase.usable
                 << " connections";
}

const std::vector<CountCase> kCountCases{
  { 9, 4, 23, 0 },      // at least two connections for each member
  { 18, 4, 36, 0 },     // exactly two for each member
  { 78, 4, 37, 6 },     // about half a connection for each member
  { 69, 4, 105, 17 },   // about 1.5 connections for each member
  { 78, 4, 5, 4 },      // minimum of one owner in each data centre
  { 78, 1, 5, 2 },      // minimum of two owners
  { 1, 1, 1, 1 },       // a single member
  { 0, 1, 10, 0 },      // no known members
  { 7000, 20, 300, 50 } // expected fleet size in two years
};

} // namespace

BOOST_DATA_TEST_CASE(OwnerCountFollowsUsableConnections, kCountCases, aCase)
{
  const auto owners =
    OwnersOf("g", Fleet(aCase.members, aCase.dataCentres), aCase.usable);
  BOOST_TEST(owners.size() == aCase.owners);
  BOOST_TEST(NamesOf(owners).size() == owners.size());
}

BOOST_AUTO_TEST_CASE(OwnersAreSpreadOverDataCentres)
{
  std::map<std::string, int> ownersPerDataCentre;
  for (const Member& owner : OwnersOf("g", Fleet(78, 4), 48))
    ++ownersPerDataCentre[owner.dataCentre];
  BOOST_TEST(ownersPerDataCentre.size() == 4U);
  for (const auto& [dataCentre, count] : ownersPerDataCentre)
    BOOST_TEST(count == 2);
}

BOOST_AUTO_TEST_CASE(ChoiceIsIndependentOfMemberOrder)
{
  auto members = Fleet(78, 4);
  const auto owners = NamesOf(OwnersOf("g", members, 37));
  std::reverse(members.begin(), members.end());
  BOOST_TEST((NamesOf(OwnersOf("g", members, 37)) == owners));
}

BOOST_AUTO_TEST_CASE(LostMemberReplacesAtMostOneOwner)
{
  const auto members = Fleet(78, 4);
  const auto before = NamesOf(OwnersOf("g", members, 24));
  for (std::size_t lost = 0; lost < members.size(); ++lost) {
    auto remaining = members;
    remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(lost));
    const auto after = NamesOf(OwnersOf("g", remaining, 24));
    std::set<std::string> kept;
    std::set_intersection(before.begin(),
                          before.end(),
                          after.begin(),
                          after.end(),
                          std::inserter(kept, kept.end()));
    const std::size_t changed = before.contains(members[lost].name) ? 1 : 0;
    BOOST_TEST(kept.size() == before.size() - changed);
  }
}

BOOST_AUTO_TEST_CASE(RestartedVmOwnsSamePools)
{
  auto members = Fleet(78, 4);
  const auto before = NamesOf(OwnersOf("g", members, 37));
  for (Member& member : members)
    member.incarnation = "2";
  BOOST_TEST((NamesOf(OwnersOf("g", members, 37)) == before));
}

BOOST_AUTO_TEST_CASE(MembersWithMoreProcessorTimeAreChosenMoreOften)
{
  constexpr int kGroups = 400;
  auto members = Fleet(40, 1);
  for (Member& member : members)
    member.processors = 0.1;
  for (int i = 0; i < 4; ++i)
    members[static_cast<std::size_t>(i)].processors = 0.9;
  int strong = 0;
  int all = 0;
  for (int group = 0; group < kGroups; ++group) {
    for (const Member& owner :
         OwnersOf("g" + std::to_string(group), members, 12)) {
      ++all;
      strong += owner.processors > 0.5 ? 1 : 0;
    }
  }
  // Four of forty members have half of the total processor time.
  BOOST_TEST(strong > all * 4 / 10);
  BOOST_TEST(strong < all * 6 / 10);
}

struct ShareCase
{
  int members;
  int usable;
};

std::ostream&
operator<<(std::ostream& aStream, const ShareCase& aCase)
{
  return aStream << aCase.members << " members, " << aCase.usable
                 << " connections";
}

const std::vector<ShareCase> kShareCases{
  { 1, 20 }, { 7, 21 }, { 9, 23 }, { 78, 37 }, { 69, 105 }, { 200, 300 }
};

BOOST_DATA_TEST_CASE(SharesAddUpToUsableConnections, kShareCases, aCase)
{
  const auto members = Fleet(aCase.members, std::min(aCase.members, 4));
  for (std::size_t rotation = 0; rotation < 5; ++rotation) {
    int all = 0;
    for (const Member& member : members)
      all += Pooler::ShareOf("g", members, member.Key(), aCase.usable, rotation)
               .connections;
    BOOST_TEST(all == aCase.usable);
  }
}

BOOST_AUTO_TEST_CASE(NonOwnersKnowTheOwners)
{
  const auto members = Fleet(78, 4);
  const auto owners = NamesOf(OwnersOf("g", members, 37));
  for (const Member& member : members) {
    const auto share = Pooler::ShareOf("g", members, member.Key(), 37, 0);
    BOOST_TEST((NamesOf(share.owners) == owners));
    BOOST_TEST((share.connections > 0) == owners.contains(member.name));
  }
}

BOOST_AUTO_TEST_CASE(MemberWithoutPeersOpensItsOwnConnections)
{
  const auto share = Pooler::ShareOf("g", {}, "me#1", 37, 0);
  BOOST_TEST(share.connections == 37);
  BOOST_TEST(share.owners.empty());
}
