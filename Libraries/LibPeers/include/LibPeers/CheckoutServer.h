#pragma once

#include <LibPooler/CheckoutSession.h>
#include <LibWire/LineConnection.h>

#include <memory>
#include <optional>
#include <set>

namespace Peers {

class CheckoutConnection;

/** Lets other nodes check out this node's connections to databases. */
class CheckoutServer
{
public:
  CheckoutServer(Core::Loop& aLoop, Pooler::CheckoutHost& aHost);
  ~CheckoutServer();

  /** Returns the bound address; none, with the reason, on failure. */
  std::optional<Wire::Address> Listen(const Wire::Address& aAddress,
                                      Core::LastReason& aReason);
  /**
   * Returns the number of channels with a pending request or a checked-out
   * connection.
   */
  std::size_t ActiveChannels() const;

private:
  friend class CheckoutConnection;
  void Remove(const std::shared_ptr<CheckoutConnection>& aConnection);

  Core::Loop& loop_;
  Pooler::CheckoutHost& host_;
  std::set<std::shared_ptr<CheckoutConnection>> connections_;
  Wire::LineServer server_;
};

} // namespace Peers
