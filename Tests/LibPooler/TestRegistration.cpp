#define BOOST_TEST_MODULE Registration
#include "MembershipFixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Fakes;

namespace {

/** The fate of a registration whose response is lost. */
struct LostRegistration
{
  const char* name;
  std::optional<Core::Duration> doneAfter;
  /** The holder of the failover duty has expelled the process once more. */
  bool isExpelledAgain;
};

std::ostream&
operator<<(std::ostream& aStream, const LostRegistration& aCase)
{
  return aStream << aCase.name;
}

const LostRegistration kLostRegistrations[] = {
  { "done", 1ms, false },
  { "not done", std::nullopt, false },
  { "done late", 2s, false },
  { "done, and overtaken by an expulsion", 1ms, true },
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Registrations, MembershipFixture)

BOOST_AUTO_TEST_CASE(OnlyRequestsAfterRegistrationGiveAuthority)
{
  const Core::Instant before = time.Now();
  bool isRegistered = false;
  membership.Register([&] { isRegistered = true; });
  BOOST_TEST(!membership.CoversRequest(time.Now()));
  AdvanceBy(10ms);
  BOOST_TEST(isRegistered);
  BOOST_TEST(!membership.CoversRequest(before));
  BOOST_TEST(membership.CoversRequest(time.Now()));
}

BOOST_AUTO_TEST_CASE(RegistersOnceTheStoreIsAvailableAgain)
{
  isStoreDown = true;
  bool isRegistered = false;
  membership.Register([&] { isRegistered = true; });
  AdvanceBy(1s);
  BOOST_TEST(!isRegistered);
  isStoreDown = false;
  AdvanceBy(1s);
  BOOST_TEST(isRegistered);
}

BOOST_AUTO_TEST_CASE(AnExpelledProcessLosesAuthorityAndRegistersAgain)
{
  membership.Register([] {});
  AdvanceBy(10ms);
  ApplyRows();
  Member expelled = MakeMember("me");
  expelled.isExpelled = true;
  AddMember(expelled);
  ApplyRows();
  BOOST_TEST(!membership.CoversRequest(time.Now()));
  AdvanceBy(500ms);
  ApplyRows();
  BOOST_TEST(membership.CoversRequest(time.Now()));
  BOOST_TEST(!membership.Roster().Find("me#1")->isExpelled);
}

/**
 * Guards against a process that never registers again. The response to its
 * write is lost; its next ones meet what the first one has written.
 */
BOOST_DATA_TEST_CASE_F(MembershipFixture,
                       AnExpelledProcessRegistersAlthoughAResponseIsLost,
                       boost::unit_test::data::make(kLostRegistrations))
{
  holdsDuty = false;
  membership.Register([] {});
  AdvanceBy(10ms);
  ApplyRows();
  Member expelled = MakeMember("me");
  expelled.isExpelled = true;
  AddMember(expelled);
  lostWrites = 1;
  lostWriteDelay = sample.doneAfter;
  ApplyRows();
  AdvanceBy(100ms);
  if (sample.isExpelledAgain)
    AddMember(expelled);
  AdvanceBy(4s);
  ApplyRows();
  AdvanceBy(100ms);
  BOOST_TEST(membership.CoversRequest(time.Now()));
  BOOST_TEST(!membership.Roster().Find("me#1")->isExpelled);
  writes = 0;
  AdvanceBy(5s);
  BOOST_TEST(writes == 0);
}

/** The store refuses what exceeds its rate when a large fleet registers. */
BOOST_AUTO_TEST_CASE(RefusedRegistrationsAreRepeatedEverMoreSlowly)
{
  isStoreDown = true;
  membership.Register([] {});
  AdvanceBy(10s);
  BOOST_TEST(writes >= 10);
  BOOST_TEST(writes <= 30);
}

BOOST_AUTO_TEST_SUITE_END()
