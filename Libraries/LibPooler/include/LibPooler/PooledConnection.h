#pragma once

#include <LibPooler/Checkout.h>
#include <LibPooler/SessionValues.h>
#include <LibSql/DatabaseLink.h>

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace Pooler {

/**
 * An open connection to a database, used by one statement run at a time. It
 * follows the commands sent on it and the replies to them, so that whether it
 * may be reused never depends on what its users report.
 */
class PooledConnection final
  : public Sql::DatabaseLink
  , public std::enable_shared_from_this<PooledConnection>
{
public:
  explicit PooledConnection(std::string aCustomer)
    : customer_(std::move(aCustomer))
  {
  }

  /** The customer that it was opened for; empty if for none. */
  const std::string& Customer() const { return customer_; }

  /** Uses a link that this node has opened. */
  void Open(std::shared_ptr<Sql::DatabaseLink> aLink, Core::Instant aNow);
  /** Uses a link that is checked out from another node. */
  void OpenCheckedOut(std::shared_ptr<CheckedOutLink> aLink,
                      Core::Instant aNow);
  /**
   * Closes the link. One that is checked out goes back to its owner instead,
   * which reuses the connection only if aIsReusable.
   */
  void Close(bool aIsReusable);

  void Send(const Sql::DatabaseCommand& aCommand,
            Sql::ReplyHandler aHandler) override;
  /**
   * Sends a command of the node that borrows the connection. One that changes
   * the session values or prepared statements makes `state` unknown.
   */
  void Relay(const Sql::DatabaseCommand& aCommand, Sql::ReplyHandler aHandler);

  /** Records that the link has broken. */
  void MarkLost() { isLost_ = true; }
  bool IsLost() const { return isLost_; }
  bool IsCheckedOut() const { return checkedOut_ != nullptr; }
  /** The member key of the owner; empty unless checked out. */
  std::string Owner() const;

  /** True while a command hasn't been answered. */
  bool AwaitsReply() const { return pendingReplies_ > 0; }
  /** True if the next user finds it as if newly opened, but for its state. */
  bool IsClean() const
  {
    return IsUsable() && transaction_ == Sql::TransactionState::Idle;
  }
  /** True if a transaction is open or failed, and a rollback would end it. */
  bool NeedsRollback() const
  {
    return IsUsable() && transaction_ != Sql::TransactionState::Idle;
  }

  /** Records that it is used from now on. */
  void BeginUse(Core::Instant aNow) { usedSince_ = aNow; }
  Core::Instant UsedSince() const { return usedSince_; }
  /** Records that it is unused from now on. */
  void BeginIdle(Core::Instant aNow) { idleSince_ = aNow; }
  Core::Instant IdleSince() const { return idleSince_; }
  /** Returns true if it was idle too long to carry a write unvalidated. */
  bool NeedsValidation(Core::Instant aNow) const;

  ConnectionState state;

private:
  bool IsUsable() const { return !isLost_ && !hasFailed_ && !AwaitsReply(); }
  void OnReply(Sql::CommandKind aKind, const Sql::DatabaseReply& aReply);

  std::string customer_;
  std::shared_ptr<Sql::DatabaseLink> link_;
  /** The same object as the link if it is checked out; otherwise null. */
  std::shared_ptr<CheckedOutLink> checkedOut_;
  Core::Instant usedSince_{};
  Core::Instant idleSince_{};
  std::size_t pendingReplies_ = 0;
  /** As reported by the latest reply. */
  Sql::TransactionState transaction_ = Sql::TransactionState::Idle;
  bool isLost_ = false;
  /** A reply was cut off or shows that `state` doesn't hold. */
  bool hasFailed_ = false;
};
using PooledConnectionHandle = std::shared_ptr<PooledConnection>;

} // namespace Pooler
