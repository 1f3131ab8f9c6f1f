#pragma once

#include "ClientConnection.h"
#include "DatabaseConnection.h"
#include "PlatformFeeds.h"
#include "PromoteClient.h"
#include "StoreClient.h"

#include <LibPeers/CheckoutClient.h>
#include <LibPeers/CheckoutServer.h>
#include <LibPeers/PeerClient.h>
#include <LibPeers/PeerServer.h>
#include <LibPeers/RelayServer.h>
#include <LibSettings/ProcessSettings.h>
#include <LibWire/HttpServer.h>

/** One node: its sockets, and the parts of the libraries behind them. */
class NodeServer
{
public:
  NodeServer(Core::Loop& aLoop, const Settings::ProcessSettings& aSettings);

  /** Listens and begins to learn about the fleet. */
  bool Start(Core::LastReason& aReason);

  /** Where clients connect, once started; the port is never 0. */
  const Wire::Address& ClientAddress() const { return clientAddress_; }
  /** Where the balancer asks, once started. */
  const Wire::Address& ReadinessAddress() const { return readinessAddress_; }

  /** Sends clients elsewhere, lets transactions end, and then ends the loop. */
  void Stop();

private:
  void AddRoutes();
  void ContinueStop();
  void FinishStop();

  Core::Loop& loop_;
  Settings::ProcessSettings settings_;
  Metrics::Registry metrics_;
  Pooler::RelayTable relayBook_;
  Adapter::LineDialer dialer_;
  Adapter::StoreClient store_;
  Adapter::PromoteClient promoter_;
  Peers::PeerClient peerClient_;
  Peers::CheckoutClient checkoutClient_;
  Pooler::Node node_;
  Adapter::PlatformFeeds feeds_;
  Adapter::ClientServer door_;
  Peers::PeerServer peerServer_;
  Peers::RelayServer relayServer_;
  Peers::CheckoutServer checkoutServer_;
  Wire::HttpServer readiness_;
  Wire::HttpServer metricsServer_;
  Wire::Address clientAddress_;
  Wire::Address readinessAddress_;
  Core::Instant stopBegan_{};
  Core::TimerHandle stopTimer_;
};
