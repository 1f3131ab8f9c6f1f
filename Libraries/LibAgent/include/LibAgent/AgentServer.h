#pragma once

#include <LibConfiguration/ConfigurationStore.h>
#include <LibConfiguration/ConfigurationTracker.h>
#include <LibCore/Loop.h>
#include <LibFailover/GroupMonitor.h>
#include <LibMembership/MemberTable.h>
#include <LibMetrics/Metrics.h>
#include <LibPlatform/HttpPlatform.h>
#include <LibSettings/ProcessSettings.h>
#include <LibWire/HttpClient.h>
#include <LibWire/HttpServer.h>

#include <list>
#include <map>
#include <memory>

namespace Agent {

class GroupWatcher;
class OperatorInterface;
class PeerGossip;

/**
 * The agent of one node. Tracks the membership and the configuration, watches
 * database groups and promotes primaries. The node's proxy receives the
 * resulting FleetView by long poll.
 */
class AgentServer
{
public:
  AgentServer(Core::Loop& aLoop, const Settings::ProcessSettings& aSettings);
  ~AgentServer();
  AgentServer(const AgentServer&) = delete;
  AgentServer& operator=(const AgentServer&) = delete;

  bool Start(Core::LastReason& aReason);

  /**
   * Stops as planned: notifies the other members, keeps serving the view while
   * the node's proxy drains, then stops the loop.
   */
  void Stop();

private:
  class Host;
  /** A long poll for the view that has not been replied to. */
  struct ViewPoller
  {
    Wire::HttpReplyHandle reply;
    Core::TimerHandle timer;
  };

  void AddRoutes();
  void GetView(const Wire::HttpRequest& aRequest,
               const Wire::HttpReplyHandle& aReply);
  void HandleOpinionRequest(const Wire::HttpRequest& aRequest,
                            const Wire::HttpReplyHandle& aReply);
  Membership::FleetView MakeView() const;
  /** Updates the group watchers; sends a changed view to the pollers. */
  void Refresh();
  void UpdateWatchers();
  void Tick();
  void RequestOpinions(
    const std::string& aGroup,
    const std::string& aDatabase,
    std::function<void(std::vector<Failover::Opinion>, bool)> aCallback);
  /**
   * Writes an audit record and retries while the store is unavailable.
   * aAttempts counts the attempts already made; the record is dropped, and
   * counted as lost, after kMaxRecordAttempts.
   */
  void WriteAuditRecord(const std::string& aKeySuffix,
                        const boost::json::object& aRecord,
                        int aAttempts);
  boost::json::object StatusJson() const;

  Core::Loop& loop_;
  Settings::ProcessSettings settings_;
  Core::Random random_;
  Metrics::Registry metrics_;
  Wire::HttpClient client_;
  Platform::HttpPlatform platform_;
  Configuration::ConfigurationStore store_;
  std::unique_ptr<Host> host_;
  std::unique_ptr<PeerGossip> gossip_;
  std::unique_ptr<OperatorInterface> operatorInterface_;
  Wire::HttpServer server_;
  std::map<std::string, std::unique_ptr<GroupWatcher>> watchers_;
  Membership::FleetView view_;
  std::list<ViewPoller> pollers_;
  Core::TimerHandle tick_;
  Core::TimerHandle stopTimer_;
};

} // namespace Agent
