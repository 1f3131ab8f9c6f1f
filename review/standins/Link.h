#pragma once

#include <LibCore/Loop.h>
#include <LibWire/Address.h>
#include <LibWire/LineConnection.h>

#include <memory>
#include <set>

namespace Review {

/**
 * A network path to one address, as a TCP proxy on loopback. While the path is
 * cut, nothing passes in either direction and nothing is reset; what was sent
 * waits, and passes once the path is whole again, unless its sender has gone.
 */
class Link
{
public:
  Link(Core::Loop& aLoop, Wire::Address aTarget);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  const Wire::Address& ListenAddress() const { return listenAddress_; }
  void SetCut(bool aIsCut);
  /** The connections that are open now stay silent for good; new ones work. */
  void SilenceOpenConnections();

private:
  class Path;
  friend class Path;

  Core::Loop& loop_;
  Wire::Address target_;
  Wire::LineServer server_;
  Wire::Address listenAddress_;
  bool isCut_ = false;
  std::set<std::shared_ptr<Path>> paths_;
  std::set<std::shared_ptr<Path>> silenced_;
};

} // namespace Review
