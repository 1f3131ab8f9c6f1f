#include <LibPeers/PeerClient.h>

#include "HeartbeatJson.h"

#include <LibCore/Log.h>
#include <LibWire/FieldReader.h>

#include <limits>
#include <utility>

namespace Peers {

namespace {

/** A peer answers from memory, so an answer takes a round trip. */
constexpr Core::Duration kCallTimeout = std::chrono::milliseconds(400);

constexpr std::int64_t kAnyNumber = std::numeric_limits<std::int64_t>::max();

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
  json["seen"] = ToJson(aHeartbeat.seen);
  return json;
}

std::optional<Pooler::RelayedRecord>
ReadRelayed(const boost::json::value& aValue, Core::Findings& aFindings)
{
  const boost::json::object* fields = aValue.if_object();
  if (fields == nullptr) {
    aFindings.Add("/records", "must hold objects");
    return std::nullopt;
  }
  Wire::FieldReader reader(*fields, aFindings, "/records");
  const std::string group = reader.String("group");
  const std::string text = reader.String("record");
  const auto version = reader.Integer("version", 0, kAnyNumber);
  const auto age = reader.OptionalInteger("age_us", 0, kAnyNumber);
  Core::LastReason reason;
  auto record = Authority::GroupRecord::Parse(group, text, reason);
  if (!record) {
    aFindings.Add("/records", reason.Text());
    return std::nullopt;
  }
  record->version = static_cast<std::uint64_t>(version);
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
                 std::function<void(Answer)> aDone)
{
  Wire::HttpCall call;
  call.method = Wire::HttpMethod::Post;
  call.target = std::move(aTarget);
  call.body = boost::json::serialize(aBody);
  call.timeout = kCallTimeout;
  client_.Call(
    aMember.addresses.peers,
    call,
    [key = aMember.Key(),
     done = std::move(aDone)](const Wire::HttpOutcome& aOutcome) {
      Answer answer;
      // A refused connection proves nothing: what is between the two may have
      // refused it. Only another process's answer proves that this one ended.
      Core::Findings findings;
      auto body = aOutcome.IsOk()
                    ? Wire::ParseObject(aOutcome.answer.body, findings)
                    : std::nullopt;
      if (body) {
        answer.body = std::move(*body);
        Wire::FieldReader reader(answer.body, findings);
        const auto member = reader.OptionalString("member");
        if (member)
          answer.delivery = *member == key ? Pooler::PeerDelivery::Answered
                                           : Pooler::PeerDelivery::Ended;
      }
      if (!findings.IsEmpty())
        Core::LogChange("peer_answer_unreadable",
                        { { "peer", key }, { "findings", findings.ToText() } });
      done(std::move(answer));
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
       [done = std::move(aDone)](const Answer& aAnswer) {
         Pooler::HeartbeatResponse answer;
         answer.delivery = aAnswer.delivery;
         Core::Findings findings;
         Wire::FieldReader reader(aAnswer.body, findings);
         if (const auto clock =
               reader.OptionalInteger("clock_us", 0, kAnyNumber))
           answer.clock = Core::Instant(Core::Duration(*clock));
         answer.seen = ReadSeenRows(reader);
         answer.reachedGroups = ReadGroups(reader, "reached");
         answer.overloadedGroups = ReadGroups(reader, "overloaded");
         done(std::move(answer));
       });
}

void
PeerClient::SendRecord(const Pooler::Member& aMember,
                       const Authority::GroupRecord& aRecord,
                       std::function<void(Pooler::PeerDelivery)> aDone)
{
  Call(aMember,
       "/v1/record",
       { { "group", aRecord.group },
         { "version", aRecord.version },
         { "record", aRecord.ToText() } },
       [done = std::move(aDone)](const Answer& aAnswer) {
         done(aAnswer.delivery);
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
       [done = std::move(aDone)](const Answer& aAnswer) {
         std::vector<Pooler::RelayedRecord> records;
         Core::Findings findings;
         Wire::FieldReader reader(aAnswer.body, findings);
         if (const auto* list = reader.OptionalArray("records")) {
           for (const auto& item : *list) {
             if (auto relayed = ReadRelayed(item, findings))
               records.push_back(std::move(*relayed));
           }
         }
         if (!findings.IsEmpty())
           Core::LogChange("peer_records_unreadable",
                           { { "findings", findings.ToText() } });
         done(std::move(records));
       });
}

} // namespace Peers
