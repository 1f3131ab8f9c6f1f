#pragma once

#include <LibConfiguration/ConfigurationStore.h>
#include <LibWire/HttpServer.h>

#include <functional>
#include <string>

namespace Agent {

class PeerGossip;

/**
 * The HTTP interface for operators under /v1/operators/: status, configuration
 * and its changes, and the audit trail. docs/operators.md describes it.
 */
class OperatorInterface
{
public:
  OperatorInterface(Configuration::ConfigurationStore& aStore,
                    PeerGossip& aGossip,
                    std::string aSecret,
                    std::function<boost::json::object()> aStatus);

  void AddRoutes(Wire::HttpServer& aServer);

private:
  void SendConfiguration(const Wire::HttpReplyHandle& aReply) const;
  void ChangeConfiguration(const std::string& aBody,
                           const Wire::HttpReplyHandle& aReply);
  void SendChangeResult(const Configuration::ChangeResult& aResult,
                        const Wire::HttpReplyHandle& aReply);
  void SendAuditRecords(const Wire::HttpReplyHandle& aReply);

  Configuration::ConfigurationStore& store_;
  PeerGossip& gossip_;
  std::string secret_;
  std::function<boost::json::object()> status_;
};

} // namespace Agent
