#include <LibPeers/ConfigurationClient.h>

#include "ConfigurationJson.h"

#include <LibCore/Log.h>
#include <LibPeers/PendingHttpCall.h>

#include <utility>

namespace Peers {

namespace {

/** The limit for the first byte, beyond the wait, and between two parts. */
constexpr Core::Duration kCallTimeout = std::chrono::milliseconds(400);

} // namespace

ConfigurationClient::ConfigurationClient(Core::Loop& aLoop)
  : client_(aLoop, "peer")
{
}

std::unique_ptr<Authority::PendingRequest>
ConfigurationClient::Fetch(const Pooler::Member& aMember,
                           const Pooler::ConfigurationRequest& aRequest,
                           Handler aDone)
{
  Wire::HttpCall call;
  call.method = Wire::HttpMethod::Post;
  call.target = "/v1/configuration";
  call.body = boost::json::serialize(ToJson(aRequest));
  call.timeout = aRequest.wait + kCallTimeout;
  call.stallTimeout = kCallTimeout;
  const Wire::HttpCallId id = client_.Call(
    aMember.addresses.peers,
    call,
    [key = aMember.Key(),
     done = std::move(aDone)](const Wire::HttpOutcome& aOutcome) {
      // Any process at that address may answer: the digests show whether the
      // text is complete, and its version how new it is.
      Core::Findings findings;
      const auto body = aOutcome.IsOk()
                          ? Wire::ParseObject(aOutcome.answer.body, findings)
                          : std::nullopt;
      Pooler::ConfigurationPart part;
      if (body) {
        Wire::FieldReader reader(*body, findings);
        part = ReadConfigurationPart(reader);
      }
      if (!findings.IsEmpty())
        Core::LogChange("peer_answer_unreadable",
                        { { "peer", key }, { "findings", findings.ToText() } });
      done(std::move(part));
    });
  return std::make_unique<PendingHttpCall>(client_, id);
}

} // namespace Peers
