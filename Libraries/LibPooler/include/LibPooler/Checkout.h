#pragma once

#include <LibCore/EnumNames.h>
#include <LibPooler/SessionValues.h>
#include <LibWire/Address.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Pooler {

/**
 * Requests a connection to a database from an owner. An owner is a node that
 * opens connections to the database and lends them to nodes that open none.
 */
struct CheckoutRequest
{
  /** The database's id. */
  std::string database;
  /**
   * How long until the statement is due; orders the waiters. Negative if the
   * statement is overdue.
   */
  Core::Duration dueIn{ 0 };
  /** The session values that must be set on the connection. */
  Values values{};
  /** The text that must be prepared; none for a plain statement. */
  std::optional<std::string> preparedText{};
  /** A connection that was idle for long must be validated first. */
  bool mustValidate = false;
  /** See ConnectionRequirements. */
  std::string customer{};
  bool fitsAnyCustomer = false;
};

/** A sample of a primary's log position (see Authority::SampleHistory). */
struct RelayedSample
{
  /** Time from the request to the primary until the sample is sent on. */
  Core::Duration age{ 0 };
  Session::LogPosition position;
};

/** By id: a database's times divided by those of the group's others. */
using SlowDatabases = std::map<std::string, double>;

/** Reports that a connection is checked out and in the requested state. */
struct CheckoutGrant
{
  /** The name of the prepared statement; empty if none was requested. */
  std::string preparedName;
  /**
   * The highest number used in names of prepared statements on the connection;
   * names with higher numbers are free.
   */
  std::uint64_t lastName = 0;
  /** The end of the database's log as last seen. */
  std::optional<Session::LogPosition> position;
  /**
   * The owner's newest sample of the group's primary, also if the connection is
   * to another database of the group.
   */
  std::optional<RelayedSample> sample{};
  /** Databases of the group that the owner has learned to be slow. */
  SlowDatabases slow{};
};

/** Why an owner refuses a checkout. */
enum class CheckoutRefusal
{
  /** The node owns no connections to that database, or is stopping. */
  NotOwner,
  /** The owner can't reach the database. */
  Unreachable,
};

inline constexpr Core::EnumNames<CheckoutRefusal, 2> kCheckoutRefusalNames{ {
  { { CheckoutRefusal::NotOwner, "not_owner" },
    { CheckoutRefusal::Unreachable, "unreachable" } },
} };

/** Ends a checkout. The owner follows the connection's state itself. */
struct CheckoutReturn
{
  /**
   * No transaction is open and no reply is outstanding. The owner closes the
   * connection otherwise.
   */
  bool isClean = false;
  /**
   * Session values or prepared statements were changed during the checkout.
   * Only owners of earlier releases rely on it.
   */
  bool isChanged = false;
};

/** The owner's end of a checkout channel; sends to the borrowing node. */
class CheckoutPort
{
public:
  virtual ~CheckoutPort() = default;
  virtual void SendGrant(const CheckoutGrant& aGrant) = 0;
  virtual void SendRefusal(CheckoutRefusal aRefusal) = 0;
  /** Reports that the request is still queued, so the owner isn't silent. */
  virtual void SendWaiting() = 0;
  virtual void SendReply(const Sql::DatabaseReply& aReply) = 0;
  /** Closes the channel. The session is destroyed later, not by this call. */
  virtual void Close() = 0;
};

/** Receives the messages of an owner and the end of the channel. */
class CheckoutListener
{
public:
  virtual ~CheckoutListener() = default;
  virtual void OnGrant(const CheckoutGrant& aGrant) = 0;
  virtual void OnRefusal(CheckoutRefusal aRefusal) = 0;
  virtual void OnWaiting() = 0;
  virtual void OnReply(Sql::DatabaseReply aReply) = 0;
  /** The channel failed or couldn't be opened. No more calls follow. */
  virtual void OnClosed() = 0;
};

/**
 * The borrower's end of a checkout channel to an owner. One connection is
 * checked out over it at a time. Destroying the channel makes the owner close
 * the checked-out connection. The listener is called from the event loop, never
 * from within these functions.
 */
class CheckoutChannel
{
public:
  virtual ~CheckoutChannel() = default;
  virtual void SendRequest(const CheckoutRequest& aRequest) = 0;
  virtual void SendCommand(const Sql::DatabaseCommand& aCommand) = 0;
  virtual void SendReturn(const CheckoutReturn& aReturn) = 0;
};

/** Opens checkout channels to owners. */
class CheckoutDialer
{
public:
  virtual ~CheckoutDialer() = default;
  /** Messages sent before the channel is connected are queued until then. */
  virtual std::unique_ptr<CheckoutChannel> Open(
    const Wire::Address& aAddress,
    CheckoutListener& aListener) = 0;
};

/** A connection of an owner that is checked out by this node. */
class CheckedOutLink : public Sql::DatabaseLink
{
public:
  /**
   * Returns the connection to its owner. Destroying the link without this call
   * makes the owner close the connection.
   */
  virtual void Return(const CheckoutReturn& aReturn) = 0;
  /** The member key of the owner. */
  virtual const std::string& Owner() const = 0;
};

} // namespace Pooler
