#include <LibPeers/PeerServer.h>

#include "ConfigurationJson.h"
#include "HeartbeatJson.h"
#include "RecordJson.h"
#include "ShareJson.h"

#include <LibCore/Log.h>

#include <limits>
#include <utility>

namespace Peers {

namespace {

constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();

Pooler::Heartbeat
ReadHeartbeat(Wire::FieldReader& aReader)
{
  Pooler::Heartbeat heartbeat;
  heartbeat.sender = aReader.String("sender");
  heartbeat.receiver = aReader.String("receiver");
  heartbeat.resigns = aReader.Boolean("resigns", false);
  if (const auto echo = aReader.OptionalInteger("echo_us", 0, kMaxInt64))
    heartbeat.echo = Core::Instant(Core::Duration(*echo));
  if (const auto newest =
        aReader.OptionalInteger("newest_record", 0, kMaxInt64))
    heartbeat.newestRecord = static_cast<std::uint64_t>(*newest);
  if (const auto digest =
        aReader.OptionalInteger("records_digest", 0, kMaxInt64))
    heartbeat.recordsDigest = static_cast<std::uint64_t>(*digest);
  heartbeat.seen = ReadSeenRows(aReader);
  heartbeat.configuration = ReadProvenConfiguration(aReader);
  return heartbeat;
}

/**
 * Reads the records of a message. Nodes of earlier releases send one record,
 * with its fields at the top level.
 */
std::vector<Authority::GroupRecord>
ReadRecords(Wire::FieldReader& aReader)
{
  std::vector<Authority::GroupRecord> records;
  const auto add = [&records](Wire::FieldReader& aItem) {
    if (auto record = ReadRecord(aItem))
      records.push_back(std::move(*record));
  };
  const boost::json::array* list = aReader.OptionalArray("records");
  if (list == nullptr) {
    add(aReader);
    return records;
  }
  for (const boost::json::value& value : *list) {
    const boost::json::object* fields = value.if_object();
    if (fields == nullptr) {
      aReader.FindingsOf().Add("/records", "must hold objects");
      continue;
    }
    Wire::FieldReader item(*fields, aReader.FindingsOf(), "/records");
    add(item);
  }
  return records;
}

void
RejectUnreadable(const Core::Findings& aFindings,
                 const Wire::HttpReplyHandle& aReply)
{
  Core::LogChange("peer_message_unreadable",
                  { { "findings", aFindings.ToText() } });
  aReply->Send(Wire::HttpResponse::Error(Wire::HttpStatus::BadRequest,
                                         aFindings.ToText()));
}

} // namespace

PeerServer::PeerServer(Core::Loop& aLoop, Pooler::PeerHandler& aHandler)
  : handler_(aHandler)
  , server_(aLoop)
{
  AddRoutes();
}

std::optional<Wire::Address>
PeerServer::Listen(const Wire::Address& aAddress, Core::LastReason& aReason)
{
  return server_.Listen(aAddress, aReason);
}

void
PeerServer::Route(const std::string& aPath, RouteHandler aHandler)
{
  server_.Route(
    Wire::HttpMethod::Post,
    aPath,
    [this, handler = std::move(aHandler)](const Wire::HttpRequest& aRequest,
                                          const Wire::HttpReplyHandle& aReply) {
      Core::Findings findings;
      const auto body = Wire::ParseObject(aRequest.body, findings);
      boost::json::object response{ { "member", handler_.MemberKey() } };
      if (body) {
        Wire::FieldReader reader(*body, findings);
        handler(reader, response);
      }
      if (!findings.IsEmpty()) {
        RejectUnreadable(findings, aReply);
        return;
      }
      aReply->Send(Wire::HttpResponse::Json(Wire::HttpStatus::Ok, response));
    });
}

void
PeerServer::Serve(Pooler::ConfigurationPublisher& aPublisher)
{
  server_.Route(Wire::HttpMethod::Post,
                "/v1/configuration",
                [&aPublisher](const Wire::HttpRequest& aRequest,
                              const Wire::HttpReplyHandle& aReply) {
                  Core::Findings findings;
                  const auto body = Wire::ParseObject(aRequest.body, findings);
                  Pooler::ConfigurationRequest request;
                  if (body) {
                    Wire::FieldReader reader(*body, findings);
                    request = ReadConfigurationRequest(reader);
                  }
                  if (!findings.IsEmpty()) {
                    RejectUnreadable(findings, aReply);
                    return;
                  }
                  aPublisher.Answer(
                    request, [aReply](const Pooler::ConfigurationPart& aPart) {
                      aReply->Send(Wire::HttpResponse::Json(
                        Wire::HttpStatus::Ok, ToJson(aPart)));
                    });
                });
}

void
PeerServer::AddRoutes()
{
  Route("/v1/heartbeat",
        [this](Wire::FieldReader& aReader, boost::json::object& aResponse) {
          const Pooler::HeartbeatResponse response =
            handler_.OnHeartbeat(ReadHeartbeat(aReader));
          aResponse["seen"] = ToJson(response.seen);
          if (response.clock)
            aResponse["clock_us"] = response.clock->time_since_epoch().count();
          aResponse["reached"] = ToJson(response.reachedGroups);
          aResponse["overloaded"] = ToJson(response.overloadedGroups);
        });
  Route("/v1/record",
        [this](Wire::FieldReader& aReader, boost::json::object& aResponse) {
          for (Authority::GroupRecord& record : ReadRecords(aReader))
            handler_.OnRecord(record);
          // Without this member's key in the response, the sender doesn't count
          // the records as delivered.
          if (!aReader.FindingsOf().IsEmpty())
            aResponse.erase("member");
        });
  Route("/v1/records",
        [this](Wire::FieldReader& aReader, boost::json::object& aResponse) {
          boost::json::array list;
          for (const Pooler::RelayedRecord& relayed :
               handler_.RecordsFor(aReader.String("asker"))) {
            boost::json::object item = ToJson(relayed.record);
            if (relayed.age)
              item["age_us"] = relayed.age->count();
            list.push_back(std::move(item));
          }
          aResponse["records"] = std::move(list);
        });
  Route("/v1/shares",
        [this](Wire::FieldReader& aReader, boost::json::object& aResponse) {
          const Quota::ShareRequest request = ReadShareRequest(aReader);
          if (aReader.FindingsOf().IsEmpty())
            WriteShareResponse(handler_.OnShareRequest(request), aResponse);
        });
}

} // namespace Peers
