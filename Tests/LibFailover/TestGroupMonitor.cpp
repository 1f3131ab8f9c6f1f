#define BOOST_TEST_MODULE GroupMonitor
#include <LibFailover/GroupMonitor.h>

#include <boost/test/unit_test.hpp>

using namespace Failover;
using std::chrono::milliseconds;

namespace {

DatabaseReport
Report(Term aTerm, bool aIsPrimary, std::uint64_t aPosition = 10)
{
  DatabaseReport report;
  report.identity = "x";
  report.promised = aTerm;
  report.owner = "p#1";
  report.log = { aTerm, aPosition };
  report.isPrimary = aIsPrimary;
  report.follows = aIsPrimary ? "" : "a";
  return report;
}

/** A GroupMonitor and a manual clock, advanced in steps of 25 ms. */
struct Fixture
{
  Core::ManualClock clock;
  GroupMonitor monitor{ { "a", "b", "c" }, "hobart", {}, clock.Now() };
  std::vector<MonitorAction> actions;

  void ReceiveReport(const std::string& aName, const DatabaseReport& aReport)
  {
    monitor.OnReport(aName, aReport, clock.Now(), clock.Now());
  }
  /** Advances by aTime; each database in aResponding responds every step. */
  void Run(milliseconds aTime, const std::string& aResponding)
  {
    for (milliseconds elapsed{ 0 }; elapsed < aTime;
         elapsed += milliseconds(25)) {
      clock.Advance(milliseconds(25));
      for (const char name : aResponding)
        ReceiveReport(std::string(1, name), Report(1, name == 'a'));
      const MonitorAction action = monitor.Tick(clock.Now());
      if (action.step != MonitorStep::None)
        actions.push_back(action);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AHealthyGroupNeedsNoAction, Fixture)
{
  Run(milliseconds(10'000), "abc");
  BOOST_TEST(actions.empty());
}

BOOST_FIXTURE_TEST_CASE(ASilentPrimaryMustBeConfirmedFromAnotherDataCentre,
                        Fixture)
{
  Run(milliseconds(1000), "abc");
  Run(milliseconds(600), "bc");
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_CHECK(actions[0].step == MonitorStep::RequestOpinions);
  BOOST_TEST(actions[0].primary == "a");
  // A member of the same data centre may be partitioned together with this
  // node, so its opinion alone is not enough.
  BOOST_CHECK(
    monitor.OnOpinions({ { "hobart", true } }, true, clock.Now()).step ==
    MonitorStep::None);
  Run(milliseconds(200), "bc");
  const auto action = monitor.OnOpinions(
    { { "hobart", true }, { "devonport", true } }, true, clock.Now());
  BOOST_CHECK(action.step == MonitorStep::Promote);
  BOOST_TEST(action.term == 2U);
}

BOOST_FIXTURE_TEST_CASE(AMemberThatReachesThePrimaryPreventsAPromotion, Fixture)
{
  Run(milliseconds(1000), "abc");
  Run(milliseconds(600), "bc");
  BOOST_CHECK(monitor
                .OnOpinions({ { "devonport", false }, { "huonville", true } },
                            true,
                            clock.Now())
                .step == MonitorStep::None);
}

BOOST_FIXTURE_TEST_CASE(MissingOpinionsDoNotConfirmAFailure, Fixture)
{
  Run(milliseconds(1000), "abc");
  Run(milliseconds(600), "bc");
  BOOST_CHECK(monitor.OnOpinions({}, true, clock.Now()).step ==
              MonitorStep::None);
}

BOOST_FIXTURE_TEST_CASE(APauseOfThisProcessIsNotAPrimaryFailure, Fixture)
{
  Run(milliseconds(1000), "abc");
  clock.Advance(milliseconds(5000));
  BOOST_CHECK(monitor.Tick(clock.Now()).step == MonitorStep::None);
  Run(milliseconds(1000), "abc");
  BOOST_TEST(actions.empty());
}

BOOST_FIXTURE_TEST_CASE(SingleLostProbesCauseNoAction, Fixture)
{
  for (int i = 0; i < 100; ++i) {
    Run(milliseconds(100), "abc");
    Run(milliseconds(100), "bc");
  }
  BOOST_TEST(actions.empty());
}

BOOST_FIXTURE_TEST_CASE(AGroupWithoutAPrimaryIsPromoted, Fixture)
{
  for (int i = 0; i < 20; ++i) {
    clock.Advance(milliseconds(25));
    for (const char* name : { "a", "b" })
      ReceiveReport(name, Report(0, false));
    const MonitorAction action = monitor.Tick(clock.Now());
    if (action.step != MonitorStep::None)
      actions.push_back(action);
  }
  BOOST_REQUIRE(!actions.empty());
  BOOST_CHECK(actions[0].step == MonitorStep::Promote);
  BOOST_TEST(actions[0].term == 1U);
}

BOOST_FIXTURE_TEST_CASE(AnOldPrimaryIsPointedAtTheNewPrimary, Fixture)
{
  ReceiveReport("a", Report(1, true));
  ReceiveReport("b", Report(2, true));
  DatabaseReport follower = Report(2, false);
  follower.follows = "b";
  ReceiveReport("c", follower);
  const auto orders = monitor.Repoint(clock.Now());
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST(orders[0].database == "a");
  BOOST_TEST(orders[0].primary == "b");
  BOOST_TEST(orders[0].term == 2U);
}
