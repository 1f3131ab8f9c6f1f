#include <LibPooler/CheckoutSession.h>

#include <LibPooler/CommandBatch.h>

#include <string_view>
#include <utility>

namespace Pooler {

namespace {

/**
 * How often a queued request is reported as waiting. A borrower that receives
 * nothing for more than twice as long treats this node as silent.
 */
constexpr Core::Duration kWaitingInterval = std::chrono::milliseconds(150);

/** One kind for all borrowed statements: the owner doesn't know their routes.
 */
constexpr std::string_view kBorrowersWork = "borrowed";

} // namespace

CheckoutSession::CheckoutSession(Core::Scheduler& aScheduler,
                                 CheckoutHost& aHost,
                                 CheckoutPort& aPort)
  : scheduler_(aScheduler)
  , host_(aHost)
  , port_(aPort)
{
}

CheckoutSession::~CheckoutSession()
{
  *alive_ = false;
  if (pool_ == nullptr)
    return;
  pool_->Cancel(ticket_);
  if (connection_ != nullptr)
    pool_->Discard(connection_);
}

void
CheckoutSession::OnRequest(CheckoutRequest aRequest)
{
  if (pool_ != nullptr) {
    port_.Close();
    return;
  }
  request_ = std::move(aRequest);
  pool_ = host_.OwnPool(request_.database);
  if (pool_ == nullptr) {
    Refuse(CheckoutRefusal::NotOwner);
    return;
  }
  waitingTimer_ =
    scheduler_.Every(kWaitingInterval, [this] { port_.SendWaiting(); });
  const auto pool = pool_;
  const auto alive = alive_;
  const std::uint64_t ticket = pool->AcquireOwn(
    { scheduler_.Now() + request_.dueIn,
      request_.values,
      request_.preparedText,
      request_.mustValidate,
      request_.customer,
      request_.fitsAnyCustomer },
    [this, alive](PooledConnectionHandle aConnection, PoolRefusal) {
      if (!*alive)
        return;
      ticket_ = 0;
      if (aConnection == nullptr)
        Refuse(CheckoutRefusal::Unreachable);
      else
        Prepare(std::move(aConnection));
    });
  if (*alive && pool_ != nullptr && connection_ == nullptr)
    ticket_ = ticket;
}

void
CheckoutSession::Prepare(PooledConnectionHandle aConnection)
{
  connection_ = std::move(aConnection);
  const std::string* preparedText =
    request_.preparedText ? &*request_.preparedText : nullptr;
  const bool mustValidate =
    request_.mustValidate && connection_->NeedsValidation(scheduler_.Now());
  const auto commands =
    mustValidate
      ? connection_->state.ResetAndPrepare(request_.values, preparedText)
      : connection_->state.Prepare(request_.values, preparedText);
  if (commands.empty()) {
    Grant();
    return;
  }
  batch_ =
    SendBatch(scheduler_,
              *connection_,
              commands,
              kPreparationTimeout,
              [this, count = commands.size()](const BatchResult& aResult) {
                if (!aResult.isSilent && aResult.failed == count) {
                  Grant();
                  return;
                }
                pool_->RecordFailure();
                Refuse(CheckoutRefusal::Unreachable);
              });
}

void
CheckoutSession::Grant()
{
  waitingTimer_.reset();
  isGranted_ = true;
  CheckoutGrant grant;
  if (request_.preparedText)
    grant.preparedName = connection_->state.NameOf(*request_.preparedText);
  grant.lastName = connection_->state.LastName();
  grant.position = pool_->Position();
  grant.sample = host_.NewestSample(request_.database);
  grant.slow = host_.SlowDatabasesBeside(request_.database);
  ReclaimAfter(host_.CheckoutIdleTimeout());
  port_.SendGrant(grant);
}

void
CheckoutSession::Refuse(CheckoutRefusal aRefusal)
{
  waitingTimer_.reset();
  EndCheckout(false);
  port_.SendRefusal(aRefusal);
}

void
CheckoutSession::ReclaimAfter(Core::Duration aLimit)
{
  reclaimTimer_ = scheduler_.After(aLimit, [this] {
    // The borrower was stopped or cut off, but the channel may appear open.
    EndCheckout(false);
    port_.Close();
  });
}

void
CheckoutSession::OnCommand(const Sql::DatabaseCommand& aCommand)
{
  if (!isGranted_) {
    port_.Close();
    return;
  }
  ReclaimAfter(host_.CheckoutResponseTimeout());
  const bool isClientStatement =
    aCommand.kind == Sql::CommandKind::ClientStatement ||
    aCommand.kind == Sql::CommandKind::ClientExecute;
  connection_->Relay(
    aCommand,
    [this, alive = alive_, isClientStatement, sentAt = scheduler_.Now()](
      const Sql::DatabaseReply& aReply) {
      if (!*alive)
        return;
      if (isClientStatement && isGranted_ && aReply.IsSuccess())
        pool_->RecordLatency(scheduler_.Now() - sentAt, kBorrowersWork);
      else if (isClientStatement && isGranted_ && aReply.error)
        pool_->RecordError(aReply.error->code);
      OnReply(aReply);
    });
}

void
CheckoutSession::OnReply(const Sql::DatabaseReply& aReply)
{
  if (!isGranted_)
    return;
  if (aReply.position)
    pool_->RecordPosition(*aReply.position);
  if (!connection_->AwaitsReply())
    ReclaimAfter(host_.CheckoutIdleTimeout());
  port_.SendReply(aReply);
}

void
CheckoutSession::OnReturn(const CheckoutReturn& aReturn)
{
  if (!isGranted_) {
    port_.Close();
    return;
  }
  EndCheckout(aReturn.isClean);
}

void
CheckoutSession::EndCheckout(bool aIsReusable)
{
  batch_.reset();
  reclaimTimer_.reset();
  isGranted_ = false;
  const auto pool = std::exchange(pool_, nullptr);
  const auto connection = std::exchange(connection_, nullptr);
  if (connection == nullptr)
    return;
  if (aIsReusable)
    pool->Release(connection);
  else
    pool->Discard(connection);
}

} // namespace Pooler
