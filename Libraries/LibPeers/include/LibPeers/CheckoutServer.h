#pragma once

#include <LibPooler/CheckoutSession.h>
#include <LibWire/LineConnection.h>

#include <memory>
#include <optional>
#include <set>

namespace Peers {

class CheckoutConnection;

/** Lets other nodes use this one's connections to databases. */
class CheckoutServer
{
public:
  CheckoutServer(Core::Loop& aLoop, Pooler::CheckoutHost& aHost);
  ~CheckoutServer();

  std::optional<Wire::Address> Listen(const Wire::Address& aAddress,
                                      Core::LastReason& aReason);
  /** Channels over which something is asked for or checked out. */
  std::size_t InUse() const;

private:
  friend class CheckoutConnection;
  void Remove(const std::shared_ptr<CheckoutConnection>& aConnection);

  Core::Loop& loop_;
  Pooler::CheckoutHost& host_;
  std::set<std::shared_ptr<CheckoutConnection>> connections_;
  Wire::LineServer server_;
};

} // namespace Peers
