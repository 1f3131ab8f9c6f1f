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
 * Keeps three things in step with the other agents and the platform: who is
 * alive, the configuration, and the VM list. A few members poll the platform;
 * the rest learn from pings and pushes.
 */
class PeerSpread
{
public:
  PeerSpread(Core::Loop& aLoop,
             const Settings::ProcessSettings& aSettings,
             Wire::HttpClient& aClient,
             Configuration::ConfigurationStore& aStore,
             Platform::VmDirectory& aDirectory,
             Core::Random& aRandom,
             Metrics::Registry& aMetrics);

  /** Called after anything has changed. */
  void OnChange(std::function<void()> aListener);
  void AddRoutes(Wire::HttpServer& aServer);
  void Start();
  void Leave();

  Membership::MemberTable& Members() { return members_; }
  const Membership::MemberTable& Members() const { return members_; }
  const Membership::VmList& List() const { return list_; }
  const Membership::Configuration& Held() const { return tracker_.Held(); }
  const Settings::FleetSettings& Fleet() const { return fleet_; }
  bool IsCurrent() const;

  /** Takes a configuration from the store, a peer or an operator's change. */
  void TakeConfiguration(const Membership::Configuration& aConfiguration);

private:
  void PingNext();
  void Ping(const Wire::Address& aAddress, const std::string& aName);
  void TakePong(const Wire::Address& aAddress,
                const std::string& aName,
                Core::Instant aRequestedAt,
                const Wire::HttpOutcome& aOutcome);
  void AskHelpers(const Membership::Member& aMember);
  void AnswerPing(const Wire::HttpRequest& aRequest,
                  const Wire::HttpReplyHandle& aReply);
  void AnswerReach(const Wire::HttpRequest& aRequest,
                   const Wire::HttpReplyHandle& aReply);
  boost::json::object Digest();
  void TakeDigest(const boost::json::object& aDigest,
                  const Wire::Address& aFrom,
                  Core::Instant aRequestedAt);
  void FetchConfiguration(const Wire::Address& aFrom);
  void FetchList(const Wire::Address& aFrom);
  void TakeList(std::uint64_t aVersion, const Membership::VmList& aList);
  void PushToSome();
  void PollStore();
  void PollList();
  bool IsPoller() const;
  void Call(const Wire::Address& aAddress,
            Wire::HttpMethod aMethod,
            const std::string& aTarget,
            const boost::json::object& aBody,
            Wire::HttpCallback aCallback);
  void Changed();
  /** Reports a change if the members have changed since the last report. */
  void ReportMembers();

  Core::Loop& loop_;
  std::string name_;
  std::string secret_;
  std::string firstConfigurationFile_;
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
