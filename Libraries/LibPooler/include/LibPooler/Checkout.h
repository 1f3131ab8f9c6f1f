#pragma once

#include <LibCore/EnumNames.h>
#include <LibPooler/SessionValues.h>
#include <LibWire/Address.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Pooler {

/** What a node asks of another one that has connections to a database. */
struct CheckoutRequest
{
  /** The database's id. */
  std::string database;
  /** When the statement is due; orders those who wait. Negative: it is late. */
  Core::Duration dueIn{ 0 };
  /** The session values that the connection must hold. */
  Values values{};
  /** What must be prepared; none for a plain statement. */
  std::optional<std::string> preparedText{};
  /** A connection that rested must prove first that it still works. */
  bool mustValidate = false;
};

/** A sample of a primary's position, as Authority::SampleHistory has them. */
struct RelayedSample
{
  /** How long before it was passed on the primary was asked. */
  Core::Duration age{ 0 };
  Session::LogPosition position;
};

/** A connection is checked out and in the state that was asked for. */
struct CheckoutGrant
{
  /** The connection's name for the shape; empty if none was asked for. */
  std::string preparedName;
  /** Names with higher numbers are free on the connection. */
  std::uint64_t lastName = 0;
  /** The end of the database's log as last seen. */
  std::optional<Session::LogPosition> position;
  /** What the owner knows of the group's primary, whatever database it is. */
  std::optional<RelayedSample> sample{};
};

/** Why a node doesn't give a connection. */
enum class CheckoutRefusal
{
  /** It has no connections to that database to give, or is stopping. */
  NotOwner,
  /** It can't reach the database. */
  Unreachable,
};

inline constexpr Core::EnumNames<CheckoutRefusal, 2> kCheckoutRefusalNames{ {
  { { CheckoutRefusal::NotOwner, "not_owner" },
    { CheckoutRefusal::Unreachable, "unreachable" } },
} };

/** Gives a connection back. */
struct CheckoutReturn
{
  /** Nothing is open or unanswered on it. */
  bool isClean = false;
  /** Values or prepared statements were added while it was checked out. */
  bool isChanged = false;
};

/** The node that asked, as the owner of the connections reaches it. */
class CheckoutPort
{
public:
  virtual ~CheckoutPort() = default;
  virtual void SendGrant(const CheckoutGrant& aGrant) = 0;
  virtual void SendRefusal(CheckoutRefusal aRefusal) = 0;
  /** Says that the request still waits. */
  virtual void SendWaiting() = 0;
  virtual void SendReply(const Sql::DatabaseReply& aReply) = 0;
  /** Closes the channel; destroys the session later. */
  virtual void Close() = 0;
};

/** What happens on a channel to an owner of connections. */
class CheckoutListener
{
public:
  virtual ~CheckoutListener() = default;
  virtual void OnGrant(const CheckoutGrant& aGrant) = 0;
  virtual void OnRefusal(CheckoutRefusal aRefusal) = 0;
  virtual void OnWaiting() = 0;
  virtual void OnReply(Sql::DatabaseReply aReply) = 0;
  /** The channel broke, or couldn't be made. Nothing more comes. */
  virtual void OnClosed() = 0;
};

/**
 * A channel to an owner of connections; one connection is checked out over it
 * at a time. Destroying it drops what is checked out. The listener is called
 * from the event loop, never from inside these.
 */
class CheckoutChannel
{
public:
  virtual ~CheckoutChannel() = default;
  virtual void SendRequest(const CheckoutRequest& aRequest) = 0;
  virtual void SendCommand(const Sql::DatabaseCommand& aCommand) = 0;
  virtual void SendReturn(const CheckoutReturn& aReturn) = 0;
};

/** Opens channels to other nodes. */
class CheckoutDialer
{
public:
  virtual ~CheckoutDialer() = default;
  /** What is sent before the channel stands is sent once it does. */
  virtual std::unique_ptr<CheckoutChannel> Open(
    const Wire::Address& aAddress,
    CheckoutListener& aListener) = 0;
};

/** A connection that another node has and this one has checked out. */
class CheckedOutLink : public Sql::DatabaseLink
{
public:
  /** Gives it back; destroying it without this drops the connection. */
  virtual void Return(const CheckoutReturn& aReturn) = 0;
  /** The node that has it, as its member's key. */
  virtual const std::string& Owner() const = 0;
};

} // namespace Pooler
