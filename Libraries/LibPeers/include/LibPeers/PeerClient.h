#pragma once

#include <LibPooler/Peers.h>
#include <LibWire/HttpClient.h>

namespace Peers {

/** Messages to other nodes, as JSON over HTTP. */
class PeerClient final : public Pooler::PeerLink
{
public:
  explicit PeerClient(Core::Loop& aLoop);

  void SendHeartbeat(
    const Pooler::Member& aMember,
    const Pooler::Heartbeat& aHeartbeat,
    std::function<void(Pooler::HeartbeatResponse)> aDone) override;
  void SendRecord(const Pooler::Member& aMember,
                  const Authority::GroupRecord& aRecord,
                  std::function<void(Pooler::PeerDelivery)> aDone) override;
  void FetchRecords(
    const Pooler::Member& aMember,
    const std::string& aSelf,
    std::function<void(std::vector<Pooler::RelayedRecord>)> aDone) override;

private:
  /** What came back, read as JSON. */
  struct Answer
  {
    Pooler::PeerDelivery delivery = Pooler::PeerDelivery::Silent;
    boost::json::object body;
  };
  void Call(const Pooler::Member& aMember,
            std::string aTarget,
            const boost::json::object& aBody,
            std::function<void(Answer)> aDone);

  Wire::HttpClient client_;
};

} // namespace Peers
