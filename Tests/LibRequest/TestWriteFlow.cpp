#define BOOST_TEST_MODULE WriteFlow
#include <LibRequest/WriteFlow.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Request;
using Endpoint::BatchResponse;
using Endpoint::BatchStatus;

namespace {

BatchResponse
Response(BatchStatus aStatus, LogPosition aLog = { 1, 5 })
{
  BatchResponse response;
  response.status = aStatus;
  response.report.emplace();
  response.report->log = aLog;
  return response;
}

WriteFlow
SentFlow(const WriteRules& aRules = {})
{
  WriteFlow flow(aRules);
  flow.Start(1);
  flow.OnSent();
  return flow;
}

} // namespace

BOOST_AUTO_TEST_CASE(OkRequiresConfirmation)
{
  WriteFlow flow = SentFlow();
  const WriteAction action =
    flow.OnBatch(Response(BatchStatus::Ok), false, true);
  BOOST_CHECK(action.step == WriteStep::AwaitConfirmation);
  BOOST_TEST(action.position.ToText() == "1:5");
  BOOST_CHECK(flow.OnConfirmed().step == WriteStep::Finish);
  BOOST_CHECK(flow.Result().outcome == Outcome::Ok);
}

BOOST_AUTO_TEST_CASE(UnconfirmedAtDeadlineIsPending)
{
  WriteFlow flow = SentFlow();
  flow.OnBatch(Response(BatchStatus::Ok), false, true);
  flow.OnDeadline();
  BOOST_CHECK(flow.Result().outcome == Outcome::Pending);
}

BOOST_AUTO_TEST_CASE(SentWithoutResponseAtDeadlineIsPending)
{
  WriteFlow flow = SentFlow();
  flow.OnDeadline();
  BOOST_CHECK(flow.Result().outcome == Outcome::Pending);
}

BOOST_DATA_TEST_CASE(RefusalBeforeSendingIsNotRunForFirstAttemptOnly,
                     boost::unit_test::data::make({ true, false }),
                     isFirst)
{
  WriteRules rules;
  rules.isFirstAttempt = isFirst;
  WriteFlow flow(rules);
  flow.Start(1);
  flow.OnRefused("no slot");
  BOOST_CHECK(flow.Result().outcome ==
              (isFirst ? Outcome::NotRun : Outcome::Pending));
}

BOOST_AUTO_TEST_CASE(UnknownResultIsResentUnderLedger)
{
  WriteFlow flow = SentFlow();
  BOOST_CHECK(flow.OnBatch(Response(BatchStatus::Unknown), false, true).step ==
              WriteStep::AwaitPrimary);
  BOOST_CHECK(flow.OnPrimary(2).step == WriteStep::SendOriginal);
}

BOOST_AUTO_TEST_CASE(TombstoneReplacesRetryBeyondBudget)
{
  WriteFlow flow = SentFlow();
  flow.OnBatch(Response(BatchStatus::Unknown), false, false);
  BOOST_CHECK(flow.OnPrimary(2).step == WriteStep::SendTombstone);
  flow.OnSent();
  // A tombstone must be confirmed as a write is.
  BOOST_CHECK(
    flow.OnBatch(Response(BatchStatus::Ok, { 2, 9 }), false, true).step ==
    WriteStep::AwaitConfirmation);
  flow.OnConfirmed();
  BOOST_CHECK(flow.Result().outcome == Outcome::NotRun);
}

BOOST_AUTO_TEST_CASE(LedgerHitIsLookedUpAndConfirmedAnew)
{
  WriteFlow flow = SentFlow();
  BOOST_CHECK(
    flow.OnBatch(Response(BatchStatus::StatementFailed), true, true).step ==
    WriteStep::LookUp);
  const WriteAction action = flow.OnLookUp(LedgerRow::Run, { 1, 5 });
  BOOST_CHECK(action.step == WriteStep::AwaitConfirmation);
  BOOST_TEST(action.needsFreshReports);
  flow.OnConfirmed();
  BOOST_CHECK(flow.Result().outcome == Outcome::Ok);
  BOOST_TEST(flow.Result().isReplayed);
}

BOOST_AUTO_TEST_CASE(ReplacedPrimaryDoesNotConfirm)
{
  WriteFlow flow = SentFlow();
  flow.OnBatch(Response(BatchStatus::Ok), false, true);
  const WriteAction action = flow.OnReplaced();
  BOOST_CHECK(action.step == WriteStep::AwaitPrimary);
  BOOST_TEST(action.term == 2U);
  BOOST_CHECK(flow.OnPrimary(2).step == WriteStep::SendOriginal);
  flow.OnDeadline();
  BOOST_CHECK(flow.Result().outcome == Outcome::Pending);
}

BOOST_AUTO_TEST_CASE(FailureOfRetryIsConfirmedBeforeReported)
{
  WriteRules rules;
  rules.isFirstAttempt = false;
  WriteFlow flow = SentFlow(rules);
  const WriteAction action =
    flow.OnBatch(Response(BatchStatus::StatementFailed), false, true);
  BOOST_CHECK(action.step == WriteStep::AwaitConfirmation);
  BOOST_TEST(action.needsFreshReports);
  flow.OnConfirmed();
  BOOST_CHECK(flow.Result().outcome == Outcome::Failed);
}

BOOST_AUTO_TEST_CASE(CommitWithoutResponseIsClosedByTombstone)
{
  WriteRules rules;
  rules.canResend = false;
  WriteFlow flow(rules);
  flow.StartSent();
  flow.OnSent();
  flow.OnBatch(Response(BatchStatus::Unknown), false, true);
  BOOST_CHECK(flow.OnPrimary(1).step == WriteStep::SendTombstone);
}
