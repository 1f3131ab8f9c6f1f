#pragma once

#include <LibPooler/Peers.h>
#include <LibWire/HttpClient.h>

namespace Peers {

/** Sends messages to other nodes as JSON over HTTP. */
class PeerClient final : public Pooler::PeerLink
{
public:
  explicit PeerClient(Core::Loop& aLoop);

  void SendHeartbeat(
    const Pooler::Member& aMember,
    const Pooler::Heartbeat& aHeartbeat,
    std::function<void(Pooler::HeartbeatResponse)> aDone) override;
  void SendRecords(const Pooler::Member& aMember,
                   const std::vector<Authority::GroupRecord>& aRecords,
                   std::function<void(Pooler::PeerDelivery)> aDone) override;
  void FetchRecords(
    const Pooler::Member& aMember,
    const std::string& aSelf,
    std::function<void(std::vector<Pooler::RelayedRecord>)> aDone) override;
  void RequestShares(
    const Pooler::Member& aMember,
    const Quota::ShareRequest& aRequest,
    std::function<void(std::optional<Quota::ShareResponse>)> aDone) override;

private:
  /** How a call ended, with the response body parsed from JSON. */
  struct PeerResponse
  {
    Pooler::PeerDelivery delivery = Pooler::PeerDelivery::Silent;
    boost::json::object body;
  };
  /**
   * Posts aBody to aTarget at a member. The delivery is Answered only if the
   * process with the member's key responds.
   */
  void Call(const Pooler::Member& aMember,
            std::string aTarget,
            const boost::json::object& aBody,
            std::function<void(PeerResponse)> aDone);

  Wire::HttpClient client_;
};

} // namespace Peers
