#pragma once

#include "ClientConnection.h"
#include "DatabaseConnection.h"
#include "PlatformFeeds.h"
#include "PromoteClient.h"
#include "StoreClient.h"

#include <LibPeers/CheckoutClient.h>
#include <LibPeers/CheckoutServer.h>
#include <LibPeers/ConfigurationClient.h>
#include <LibPeers/PeerClient.h>
#include <LibPeers/PeerServer.h>
#include <LibPeers/RelayServer.h>
#include <LibSettings/ProcessSettings.h>
#include <LibWire/HttpServer.h>

/** The node process: its listening sockets and the components behind them. */
class NodeServer
{
public:
  NodeServer(Core::Loop& aLoop, const Settings::ProcessSettings& aSettings);

  /**
   * Opens the listening sockets and starts the platform feeds. Returns false,
   * with the reason, if a socket can't be opened.
   */
  bool Start(Core::LastReason& aReason);

  /** The bound address for clients. Valid after Start; the port is never 0. */
  const Wire::Address& ClientAddress() const { return clientAddress_; }
  /** The bound address for the balancer's readiness checks, after Start. */
  const Wire::Address& ReadinessAddress() const { return readinessAddress_; }

  /**
   * Begins a graceful stop: reports not ready so that the balancer directs
   * clients to other nodes, lets open transactions finish, and then stops the
   * event loop.
   */
  void Stop();

private:
  void AddRoutes();
  void ContinueStop();
  void FinishStop();

  Core::Loop& loop_;
  Settings::ProcessSettings settings_;
  Metrics::Registry metrics_;
  Pooler::RelayTable relayTable_;
  std::shared_ptr<Wire::ReadGate> answers_;
  Adapter::LineDialer dialer_;
  Adapter::StoreClient store_;
  Adapter::PromoteClient promoter_;
  Peers::PeerClient peerClient_;
  Peers::ConfigurationClient configurationClient_;
  Peers::CheckoutClient checkoutClient_;
  Pooler::ConfigurationPublisher publisher_;
  Pooler::Node node_;
  Adapter::PlatformFeeds feeds_;
  Adapter::ClientServer clientServer_;
  Peers::PeerServer peerServer_;
  Peers::RelayServer relayServer_;
  Peers::CheckoutServer checkoutServer_;
  Wire::HttpServer readinessServer_;
  Wire::HttpServer metricsServer_;
  Wire::Address clientAddress_;
  Wire::Address readinessAddress_;
  Core::Instant stopBeganAt_{};
  Core::TimerHandle stopTimer_;
};
