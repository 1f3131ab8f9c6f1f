#pragma once

#include <LibConfiguration/ConfigurationStore.h>
#include <LibConfiguration/ConfigurationTracker.h>
#include <LibCore/Loop.h>
#include <LibMembership/MemberTable.h>
#include <LibMetrics/Metrics.h>
#include <LibPlatform/VmDirectory.h>
#include <LibSettings/FleetSettings.h>
#include <LibSettings/ProcessSettings.h>
#include <LibWire/HttpClient.h>
#include <LibWire/HttpServer.h>

#include <functional>

namespace Agent {

/**
 * Synchronises the membership, the configuration and the VM list with the
 * other agents by gossip, and with the platform. A few members poll the
 * platform frequently; the others receive changes by pings, which carry
 * membership updates and version numbers, and fetch newer versions from peers.
 */
class PeerGossip
{
public:
  PeerGossip(Core::Loop& aLoop,
             const Settings::ProcessSettings& aSettings,
             Wire::HttpClient& aClient,
             Configuration::ConfigurationStore& aStore,
             Platform::VmDirectory& aDirectory,
             Core::Random& aRandom,
             Metrics::Registry& aMetrics);

  /**
   * Sets the listener that is called after a change of the members, the
   * configuration or the VM list.
   */
  void OnChange(std::function<void()> aListener);
  void AddRoutes(Wire::HttpServer& aServer);
  void Start();
  /** Marks this member as leaving and notifies a few other members. */
  void Leave();

  Membership::MemberTable& Members() { return members_; }
  const Membership::MemberTable& Members() const { return members_; }
  const Membership::VmList& List() const { return list_; }
  const Membership::Configuration& Held() const { return tracker_.Held(); }
  const Settings::FleetSettings& Fleet() const { return fleet_; }
  /**
   * Returns true while the store or a peer has confirmed the configuration
   * within configuration.stale_ms. A lone member stays current after its
   * first confirmation.
   */
  bool IsCurrent() const;

  /**
   * Applies a configuration from the store, a peer or an operator's change,
   * unless it is invalid or not newer, and notifies a few other members.
   */
  void ApplyConfiguration(const Membership::Configuration& aConfiguration);

private:
  void PingNext();
  void Ping(const Wire::Address& aAddress, const std::string& aName);
  void HandlePingResponse(const Wire::Address& aAddress,
                          const std::string& aName,
                          Core::Instant aRequestedAt,
                          const Wire::HttpOutcome& aOutcome);
  /**
   * Has other members ping a member that has not responded. If none of them
   * reaches it, it becomes a suspect.
   */
  void PingThroughHelpers(const Membership::Member& aMember);
  void HandlePing(const Wire::HttpRequest& aRequest,
                  const Wire::HttpReplyHandle& aReply);
  void HandleReach(const Wire::HttpRequest& aRequest,
                   const Wire::HttpReplyHandle& aReply);
  /** The body of a ping and its response: updates and version numbers. */
  boost::json::object MakeDigest();
  void ApplyDigest(const boost::json::object& aDigest,
                   const Wire::Address& aFrom,
                   Core::Instant aRequestedAt);
  void FetchConfiguration(const Wire::Address& aFrom);
  void FetchList(const Wire::Address& aFrom);
  void ApplyList(std::uint64_t aVersion, const Membership::VmList& aList);
  /** Pings a few random members at once to pass on a change. */
  void PingRandomMembers();
  void PollStore();
  void PollList();
  /** True when this member is one of those that poll the platform often. */
  bool IsPoller() const;
  void Call(const Wire::Address& aAddress,
            Wire::HttpMethod aMethod,
            const std::string& aTarget,
            const boost::json::object& aBody,
            Wire::HttpCallback aCallback);
  void NotifyListener();
  /** Notifies the listener if the members have changed since the last call. */
  void ReportMembers();

  Core::Loop& loop_;
  std::string name_;
  std::string secret_;
  std::string initialConfigurationFile_;
  std::vector<Wire::Address> seeds_;
  Wire::HttpClient& client_;
  Configuration::ConfigurationStore& store_;
  Platform::VmDirectory& directory_;
  Core::Random& random_;
  Metrics::Registry& metrics_;
  Membership::MemberTable members_;
  Configuration::ConfigurationTracker tracker_;
  Settings::FleetSettings fleet_;
  Membership::VmList list_;
  std::uint64_t listVersion_ = 0;
  std::uint64_t reportedMembers_ = 0;
  bool isFetchingConfiguration_ = false;
  bool isFetchingList_ = false;
  std::function<void()> listener_;
  Core::TimerHandle pingTimer_;
  Core::TimerHandle storeTimer_;
  Core::TimerHandle listTimer_;
};

} // namespace Agent
