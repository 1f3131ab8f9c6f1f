#pragma once

#include <LibProxy/GroupHome.h>
#include <LibProxy/ViewFollower.h>
#include <LibSettings/ProcessSettings.h>
#include <LibWire/HttpClient.h>
#include <LibWire/HttpServer.h>

#include <map>
#include <memory>

namespace Proxy {

class CallerInterface;
class PeerRouter;
class TransactionTable;

/**
 * The data path of one node. Accepts callers' requests, forwards each to the
 * home of its group, and serves the groups whose home is this node.
 */
class ProxyServer
{
public:
  ProxyServer(Core::Loop& aLoop, const Settings::ProcessSettings& aSettings);
  ~ProxyServer();
  ProxyServer(const ProxyServer&) = delete;
  ProxyServer& operator=(const ProxyServer&) = delete;

  /**
   * Listens on the callers', peers' and operators' addresses. Returns false and
   * sets aReason if an address can't be bound.
   */
  bool Start(Core::LastReason& aReason);

  /** Begins a planned stop: drains requests, then stops the loop. */
  void Stop();

private:
  class Host;

  GroupHome* HomeOf(const std::string& aGroup);
  /** Why this node can't serve requests now; empty if it can. */
  std::string NotReadyReason() const;
  void AddOperatorRoutes();
  /** Replies 401 and returns false if the operators' secret is missing. */
  bool CheckOperator(const Wire::HttpRequest& aRequest,
                     const Wire::HttpReplyHandle& aReply) const;
  void RelayToAgent(const Wire::HttpRequest& aRequest,
                    const Wire::HttpReplyHandle& aReply);
  void ApplyView(const Membership::FleetView& aView);
  boost::json::object StatusJson();
  void WaitForDrain();

  Core::Loop& loop_;
  Settings::ProcessSettings settings_;
  Core::Random random_;
  Metrics::Registry metrics_;
  Wire::HttpClient client_;
  std::unique_ptr<LinkFactory> links_;
  HomeContext context_;
  ViewFollower view_;
  std::map<std::string, std::unique_ptr<GroupHome>> homes_;
  std::unique_ptr<TransactionTable> transactions_;
  std::unique_ptr<PeerRouter> router_;
  std::unique_ptr<Host> host_;
  std::unique_ptr<CallerInterface> callerInterface_;
  Wire::HttpServer callers_;
  Wire::HttpServer peers_;
  Wire::HttpServer operators_;
  SettingsHandle fleet_;
  std::uint64_t configurationVersion_ = 0;
  bool isStopping_ = false;
  Core::Instant stopStarted_;
  Core::TimerHandle drainTimer_;
};

} // namespace Proxy
