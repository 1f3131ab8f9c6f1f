#include <LibPooler/PooledConnection.h>

#include <utility>

namespace Pooler {

namespace {

/** A connection idle for longer is validated before it carries a write. */
constexpr Core::Duration kValidateAfterIdle = std::chrono::milliseconds(1000);

} // namespace

void
PooledConnection::Open(std::shared_ptr<Sql::DatabaseLink> aLink,
                       Core::Instant aNow)
{
  link_ = std::move(aLink);
  idleSince_ = aNow;
}

void
PooledConnection::OpenCheckedOut(std::shared_ptr<CheckedOutLink> aLink,
                                 Core::Instant aNow)
{
  checkedOut_ = aLink;
  Open(std::move(aLink), aNow);
}

void
PooledConnection::Close(bool aIsReusable)
{
  if (const auto checkedOut = std::exchange(checkedOut_, nullptr))
    checkedOut->Return({ aIsReusable && IsClean(), state.IsChanged() });
  link_.reset();
}

void
PooledConnection::Send(const Sql::DatabaseCommand& aCommand,
                       Sql::ReplyHandler aHandler)
{
  if (ChangesState(aCommand.kind))
    state.MarkChanged();
  ++pendingReplies_;
  // A weak pointer, as the connection owns the link, which owns the callback.
  link_->Send(aCommand,
              [weak = weak_from_this(),
               kind = aCommand.kind,
               handler = std::move(aHandler)](Sql::DatabaseReply aReply) {
                if (const auto self = weak.lock())
                  self->OnReply(kind, aReply);
                handler(std::move(aReply));
              });
}

void
PooledConnection::Relay(const Sql::DatabaseCommand& aCommand,
                        Sql::ReplyHandler aHandler)
{
  if (ChangesState(aCommand.kind))
    state.Forget();
  Send(aCommand, std::move(aHandler));
}

void
PooledConnection::OnReply(Sql::CommandKind aKind,
                          const Sql::DatabaseReply& aReply)
{
  --pendingReplies_;
  transaction_ = aReply.state;
  const bool lacksPrepared =
    aReply.error && aReply.error->code == Sql::ErrorCode::NoStatement;
  if (!aReply.isComplete || lacksPrepared ||
      (aReply.error && ChangesState(aKind)))
    hasFailed_ = true;
}

std::string
PooledConnection::Owner() const
{
  return checkedOut_ != nullptr ? checkedOut_->Owner() : std::string();
}

bool
PooledConnection::NeedsValidation(Core::Instant aNow) const
{
  return aNow - idleSince_ > kValidateAfterIdle;
}

} // namespace Pooler
