#pragma once

#include <LibConfiguration/ConfigurationStore.h>
#include <LibConfiguration/ConfigurationTracker.h>
#include <LibCore/Loop.h>
#include <LibFailover/GroupWatch.h>
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
class PeerSpread;

/**
 * The control side of one node: who takes part, which configuration is in
 * force, which databases lead. It tells the node's proxy by long poll.
 */
class AgentServer
{
public:
  AgentServer(Core::Loop& aLoop, const Settings::ProcessSettings& aSettings);
  ~AgentServer();
  AgentServer(const AgentServer&) = delete;
  AgentServer& operator=(const AgentServer&) = delete;

  bool Start(Core::LastReason& aReason);

  /** A planned stop: tells the others first, then stops the loop. */
  void Stop();

private:
  class Host;
  struct ViewPoller
  {
    Wire::HttpReplyHandle reply;
    Core::TimerHandle timer;
  };

  void AddRoutes();
  void GetView(const Wire::HttpRequest& aRequest,
               const Wire::HttpReplyHandle& aReply);
  void GiveOpinion(const Wire::HttpRequest& aRequest,
                   const Wire::HttpReplyHandle& aReply);
  Membership::FleetView MakeView() const;
  /** Brings everything in line with what has become known. */
  void Refresh();
  void UpdateWatchers();
  void Tick();
  void AskOpinions(
    const std::string& aGroup,
    const std::string& aDatabase,
    std::function<void(std::vector<Failover::Opinion>, bool)> aCallback);
  /** Writes an audit record, again and again while the store is down. */
  void Record(const std::string& aKeyEnd,
              const boost::json::object& aRecord,
              int aTries);
  boost::json::object StatusJson() const;

  Core::Loop& loop_;
  Settings::ProcessSettings settings_;
  Core::Random random_;
  Metrics::Registry metrics_;
  Wire::HttpClient client_;
  Platform::HttpPlatform platform_;
  Configuration::ConfigurationStore store_;
  std::unique_ptr<Host> host_;
  std::unique_ptr<PeerSpread> spread_;
  std::unique_ptr<OperatorInterface> operators_;
  Wire::HttpServer server_;
  std::map<std::string, std::unique_ptr<GroupWatcher>> watchers_;
  Membership::FleetView view_;
  std::list<ViewPoller> pollers_;
  Core::TimerHandle tick_;
  Core::TimerHandle stopTimer_;
};

} // namespace Agent
