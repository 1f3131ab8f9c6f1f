#include <LibPeers/PeerClient.h>

#include "HeartbeatJson.h"
#include "RecordJson.h"
#include "ShareJson.h"

#include <LibCore/Log.h>
#include <LibWire/FieldReader.h>

#include <limits>
#include <utility>

namespace Peers {

namespace {

/**
 * A peer responds from memory, so a response begins within one round trip. Also
 * limits the time between parts of a large one.
 */
constexpr Core::Duration kCallTimeout = std::chrono::milliseconds(400);

constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();

boost::json::object
HeartbeatToJson(const Pooler::Heartbeat& aHeartbeat)
{
  boost::json::object json{ { "sender", aHeartbeat.sender },
                            { "receiver", aHeartbeat.receiver },
                            { "resigns", aHeartbeat.resigns } };
  if (aHeartbeat.echo)
    json["echo_us"] = aHeartbeat.echo->time_since_epoch().count();
  if (aHeartbeat.newestRecord)
    json["newest_record"] = *aHeartbeat.newestRecord;
  if (aHeartbeat.recordsDigest)
    json["records_digest"] = *aHeartbeat.recordsDigest;
  json["seen"] = ToJson(aHeartbeat.seen);
  if (aHeartbeat.configuration) {
    json["configuration_version"] = aHeartbeat.configuration->version;
    json["configuration_age_us"] = aHeartbeat.configuration->age.count();
  }
  return json;
}

/** Returns none and adds a finding if the record is malformed. */
std::optional<Pooler::RelayedRecord>
ReadRelayedRecord(const boost::json::value& aValue, Core::Findings& aFindings)
{
  const boost::json::object* fields = aValue.if_object();
  if (fields == nullptr) {
    aFindings.Add("/records", "must hold objects");
    return std::nullopt;
  }
  Wire::FieldReader reader(*fields, aFindings, "/records");
  const auto age = reader.OptionalInteger("age_us", 0, kMaxInt64);
  auto record = ReadRecord(reader);
  if (!record)
    return std::nullopt;
  Pooler::RelayedRecord relayed{ std::move(*record), std::nullopt };
  if (age)
    relayed.age = Core::Duration(*age);
  return relayed;
}

} // namespace

PeerClient::PeerClient(Core::Loop& aLoop)
  : client_(aLoop, "peer")
{
}

void
PeerClient::Call(const Pooler::Member& aMember,
                 std::string aTarget,
                 const boost::json::object& aBody,
                 std::function<void(PeerResponse)> aDone)
{
  Wire::HttpCall call;
  call.method = Wire::HttpMethod::Post;
  call.target = std::move(aTarget);
  call.body = boost::json::serialize(aBody);
  call.timeout = kCallTimeout;
  call.stallTimeout = kCallTimeout;
  client_.Call(
    aMember.addresses.peers,
    call,
    [key = aMember.Key(),
     done = std::move(aDone)](const Wire::HttpOutcome& aOutcome) {
      PeerResponse response;
      // A refused connection isn't proof that the process ended: a device on
      // the network path may have refused it. Only a response from another
      // process at this address proves that the intended one has ended.
      Core::Findings findings;
      auto body = aOutcome.IsOk()
                    ? Wire::ParseObject(aOutcome.answer.body, findings)
                    : std::nullopt;
      if (body) {
        response.body = std::move(*body);
        Wire::FieldReader reader(response.body, findings);
        const auto member = reader.OptionalString("member");
        if (member)
          response.delivery = *member == key ? Pooler::PeerDelivery::Answered
                                             : Pooler::PeerDelivery::Ended;
      }
      if (!findings.IsEmpty())
        Core::LogChange("peer_answer_unreadable",
                        { { "peer", key }, { "findings", findings.ToText() } });
      done(std::move(response));
    });
}

void
PeerClient::SendHeartbeat(const Pooler::Member& aMember,
                          const Pooler::Heartbeat& aHeartbeat,
                          std::function<void(Pooler::HeartbeatResponse)> aDone)
{
  Call(aMember,
       "/v1/heartbeat",
       HeartbeatToJson(aHeartbeat),
       [done = std::move(aDone)](const PeerResponse& aResponse) {
         Pooler::HeartbeatResponse response;
         response.delivery = aResponse.delivery;
         Core::Findings findings;
         Wire::FieldReader reader(aResponse.body, findings);
         if (const auto clock =
               reader.OptionalInteger("clock_us", 0, kMaxInt64))
           response.clock = Core::Instant(Core::Duration(*clock));
         response.seen = ReadSeenRows(reader);
         response.reachedGroups = ReadGroups(reader, "reached");
         response.overloadedGroups = ReadGroups(reader, "overloaded");
         done(std::move(response));
       });
}

void
PeerClient::SendRecords(const Pooler::Member& aMember,
                        const std::vector<Authority::GroupRecord>& aRecords,
                        std::function<void(Pooler::PeerDelivery)> aDone)
{
  boost::json::array list;
  for (const Authority::GroupRecord& record : aRecords)
    list.push_back(ToJson(record));
  Call(aMember,
       "/v1/record",
       { { "records", std::move(list) } },
       [done = std::move(aDone)](const PeerResponse& aResponse) {
         done(aResponse.delivery);
       });
}

void
PeerClient::FetchRecords(
  const Pooler::Member& aMember,
  const std::string& aSelf,
  std::function<void(std::vector<Pooler::RelayedRecord>)> aDone)
{
  Call(aMember,
       "/v1/records",
       { { "asker", aSelf } },
       [done = std::move(aDone)](const PeerResponse& aResponse) {
         std::vector<Pooler::RelayedRecord> records;
         Core::Findings findings;
         Wire::FieldReader reader(aResponse.body, findings);
         if (const auto* list = reader.OptionalArray("records")) {
           for (const auto& item : *list) {
             if (auto relayed = ReadRelayedRecord(item, findings))
               records.push_back(std::move(*relayed));
           }
         }
         if (!findings.IsEmpty())
           Core::LogChange("peer_records_unreadable",
                           { { "findings", findings.ToText() } });
         done(std::move(records));
       });
}

void
PeerClient::RequestShares(
  const Pooler::Member& aMember,
  const Quota::ShareRequest& aRequest,
  std::function<void(std::optional<Quota::ShareResponse>)> aDone)
{
  Call(aMember,
       "/v1/shares",
       ToJson(aRequest),
       [done = std::move(aDone)](const PeerResponse& aResponse) {
         if (aResponse.delivery != Pooler::PeerDelivery::Answered) {
           done(std::nullopt);
           return;
         }
         Core::Findings findings;
         Wire::FieldReader reader(aResponse.body, findings);
         Quota::ShareResponse response = ReadShareResponse(reader);
         if (!findings.IsEmpty()) {
           Core::LogChange("peer_shares_unreadable",
                           { { "findings", findings.ToText() } });
           done(std::nullopt);
           return;
         }
         done(std::move(response));
       });
}

} // namespace Peers
