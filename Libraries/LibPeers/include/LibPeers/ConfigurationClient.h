#pragma once

#include <LibPooler/ConfigurationPeers.h>
#include <LibWire/HttpClient.h>

namespace Peers {

/** Requests the operators' configuration from other nodes, as JSON over HTTP.
 */
class ConfigurationClient final : public Pooler::ConfigurationPeers
{
public:
  explicit ConfigurationClient(Core::Loop& aLoop);

  std::unique_ptr<Authority::PendingRequest> Fetch(
    const Pooler::Member& aMember,
    const Pooler::ConfigurationRequest& aRequest,
    Handler aDone) override;

private:
  Wire::HttpClient client_;
};

} // namespace Peers
