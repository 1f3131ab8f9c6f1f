#define BOOST_TEST_MODULE Promotion
#include <LibFailover/Promotion.h>

#include <boost/test/unit_test.hpp>

using namespace Failover;

namespace {

ControlResponse
Promised(LogPosition aLog, bool aIsJoining = false)
{
  ControlResponse response;
  response.isAccepted = true;
  response.report.log = aLog;
  response.report.promised = 5;
  response.report.isJoining = aIsJoining;
  return response;
}

ControlResponse
Refused(Term aPromised)
{
  ControlResponse response;
  response.reason = "promised";
  response.report.promised = aPromised;
  return response;
}

Promotion
MakePromotion(const PromotionOptions& aOptions = { 5, "me", "", {}, {}, false })
{
  return Promotion({ "a", "b", "c" }, aOptions);
}

} // namespace

BOOST_AUTO_TEST_CASE(ChoosesTheMostRecentLogByTermThenPosition)
{
  Promotion promotion = MakePromotion();
  BOOST_TEST(promotion.Start().size() == 3U);
  promotion.OnFence("a", Promised({ 2, 90 }));
  promotion.OnFence("b", Promised({ 3, 10 }));
  const auto actions = promotion.OnFence("c", Promised({ 3, 11 }));
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_CHECK(actions[0].step == PromotionStep::Promote);
  BOOST_TEST(actions[0].database == "c");
}

BOOST_AUTO_TEST_CASE(AMajorityIsEnoughAfterTheGracePeriod)
{
  Promotion promotion = MakePromotion();
  promotion.Start();
  BOOST_TEST(promotion.OnFence("a", Promised({ 2, 9 })).empty());
  const auto actions = promotion.OnFence("b", Promised({ 2, 8 }));
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_CHECK(actions[0].step == PromotionStep::AwaitGracePeriod);
  BOOST_TEST(promotion.OnGracePeriodOver()[0].database == "a");
}

BOOST_AUTO_TEST_CASE(AMinorityPromotesNoDatabase)
{
  Promotion promotion = MakePromotion();
  promotion.Start();
  promotion.OnFence("a", Promised({ 2, 9 }));
  promotion.OnFence("b", std::nullopt);
  const auto actions = promotion.OnFence("c", Refused(8));
  BOOST_CHECK(actions[0].step == PromotionStep::Finish);
  BOOST_TEST(!promotion.HasSucceeded());
  BOOST_TEST(promotion.HighestTerm() == 8U);
}

BOOST_AUTO_TEST_CASE(ADatabaseThatLostItsFileHasNoVote)
{
  Promotion promotion = MakePromotion();
  promotion.Start();
  promotion.OnFence("a", Promised({ 2, 9 }));
  promotion.OnFence("b", Promised({ 2, 9 }, true));
  const auto actions = promotion.OnFence("c", std::nullopt);
  BOOST_CHECK(actions[0].step == PromotionStep::Finish);
  BOOST_TEST(!promotion.HasSucceeded());
}

BOOST_AUTO_TEST_CASE(AnUnansweredPromotionTriesNoOtherDatabaseInItsTerm)
{
  Promotion promotion = MakePromotion();
  promotion.Start();
  promotion.OnFence("a", Promised({ 2, 9 }));
  promotion.OnFence("b", Promised({ 2, 8 }));
  promotion.OnGracePeriodOver();
  const auto actions = promotion.OnPromote(std::nullopt);
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_CHECK(actions[0].step == PromotionStep::Finish);
  BOOST_TEST(!promotion.HasSucceeded());
}

BOOST_AUTO_TEST_CASE(ALeavingDatabaseIsChosenOnlyWhenNoOtherLogIsAsRecent)
{
  Promotion promotion = MakePromotion({ 5, "me", "a", { "a" }, {}, false });
  promotion.Start();
  promotion.OnFence("a", Promised({ 2, 9 }));
  promotion.OnFence("b", Promised({ 2, 9 }));
  BOOST_TEST(promotion.OnFence("c", std::nullopt)[0].database == "b");

  Promotion other = MakePromotion({ 5, "me", "a", { "a" }, {}, false });
  other.Start();
  other.OnFence("a", Promised({ 2, 10 }));
  other.OnFence("b", Promised({ 2, 9 }));
  BOOST_TEST(other.OnFence("c", std::nullopt)[0].database == "a");
}

BOOST_AUTO_TEST_CASE(TheOtherDatabasesArePointedAtTheNewPrimary)
{
  Promotion promotion = MakePromotion();
  promotion.Start();
  promotion.OnFence("a", Promised({ 2, 9 }));
  promotion.OnFence("b", Promised({ 2, 8 }));
  promotion.OnGracePeriodOver();
  const auto actions = promotion.OnPromote(Promised({ 5, 9 }));
  BOOST_REQUIRE(actions.size() == 3U);
  BOOST_TEST(actions[0].database == "b");
  BOOST_TEST(actions[1].database == "c");
  BOOST_TEST(promotion.HasSucceeded());
}

BOOST_AUTO_TEST_CASE(AVoteOfAReplacedIdentityIsVoid)
{
  Promotion promotion = MakePromotion();
  promotion.Start();
  ControlResponse beforeLoss = Promised({ 1, 0 });
  beforeLoss.report.identity = "b, before it lost its file";
  promotion.OnFence("b", beforeLoss);
  ControlResponse other = Promised({ 1, 0 });
  other.report.identities["b"] = "b, as it is now";
  BOOST_TEST(promotion.OnFence("c", other).empty());
  const auto actions = promotion.OnFence("a", std::nullopt);
  BOOST_CHECK(actions[0].step == PromotionStep::Finish);
  BOOST_TEST(!promotion.HasSucceeded());
}
