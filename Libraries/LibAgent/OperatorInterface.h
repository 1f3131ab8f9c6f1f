#pragma once

#include <LibConfiguration/ConfigurationStore.h>
#include <LibWire/HttpServer.h>

#include <functional>
#include <string>

namespace Agent {

class PeerSpread;

/** The operators' commands; docs/operators.md describes them. */
class OperatorInterface
{
public:
  OperatorInterface(Configuration::ConfigurationStore& aStore,
                    PeerSpread& aSpread,
                    std::string aSecret,
                    std::function<boost::json::object()> aStatus);

  void AddRoutes(Wire::HttpServer& aServer);

private:
  void Show(const Wire::HttpReplyHandle& aReply) const;
  void Change(const std::string& aBody, const Wire::HttpReplyHandle& aReply);
  void AnswerChange(const Configuration::ChangeResult& aResult,
                    const Wire::HttpReplyHandle& aReply);
  void Audit(const Wire::HttpReplyHandle& aReply);

  Configuration::ConfigurationStore& store_;
  PeerSpread& spread_;
  std::string secret_;
  std::function<boost::json::object()> status_;
};

} // namespace Agent
