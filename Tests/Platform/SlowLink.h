#pragma once

#include <LibCore/Loop.h>
#include <LibWire/Address.h>

#include <cstddef>
#include <memory>

namespace StandIns {

/**
 * A network link with little bandwidth: forwards connections to a server and
 * limits the rate of what the server sends, for all connections together.
 */
class SlowLink
{
public:
  /** aRate is in bytes per second. */
  SlowLink(Core::Loop& aLoop, Wire::Address aServer, std::size_t aRate);
  ~SlowLink();

  /** The address to connect to instead of the server's. */
  const Wire::Address& ListenAddress() const;

  /** Bytes that have been sent to the clients of all connections. */
  std::size_t SentBytes() const;

private:
  class Link;
  std::unique_ptr<Link> link_;
};

} // namespace StandIns
