#pragma once

#include "ChangePollers.h"
#include "DatabaseOptions.h"
#include "ExchangeRunner.h"
#include "Faults.h"
#include "LogFollower.h"

#include <LibStandIn/LogFile.h>
#include <LibWire/FieldReader.h>
#include <LibWire/HttpServer.h>

#include <functional>

namespace StandIn {

/** One stand-in database's HTTP interface; docs/databases.md describes it. */
class DatabaseServer
{
public:
  DatabaseServer(Core::Loop& aLoop, DatabaseOptions aOptions);

  /** Opens the files and listens. Gives the address used. */
  std::optional<Wire::Address> Start(Core::LastReason& aReason);

private:
  using JsonHandler = std::function<void(const Wire::HttpRequest&,
                                         Wire::FieldReader&,
                                         const Wire::HttpReplyHandle&)>;

  bool OpenFiles(Core::LastReason& aReason);
  void AddRoutes();
  /** A route that a fault may silence. */
  void Route(Wire::HttpMethod aMethod,
             const std::string& aPattern,
             Wire::HttpHandler aHandler);
  void RouteJson(const std::string& aPattern, JsonHandler aHandler);

  void Connect(const Wire::HttpRequest& aRequest,
               const Wire::HttpReplyHandle& aReply);
  void RunExchange(const Wire::HttpRequest& aRequest,
                   Wire::FieldReader& aReader,
                   const Wire::HttpReplyHandle& aReply);
  void AnswerExchange(const Wire::HttpRequest& aRequest,
                      std::uint64_t aNumber,
                      boost::json::object aAnswer,
                      const Wire::HttpReplyHandle& aReply);
  void GetStatus(const Wire::HttpRequest& aRequest,
                 const Wire::HttpReplyHandle& aReply);
  void GetLog(const Wire::HttpRequest& aRequest,
              const Wire::HttpReplyHandle& aReply);
  void Fence(Wire::FieldReader& aReader, const Wire::HttpReplyHandle& aReply);
  void Promote(Wire::FieldReader& aReader, const Wire::HttpReplyHandle& aReply);
  void Follow(Wire::FieldReader& aReader, const Wire::HttpReplyHandle& aReply);
  void SetFaults(const Wire::HttpRequest& aRequest,
                 const Wire::HttpReplyHandle& aReply);

  void TakeBatch(const LogBatch& aBatch);
  void RebuildData();
  boost::json::object Report() const;
  /** The report, with a reason when the call was refused. */
  Wire::HttpAnswer ControlAnswer(bool aAccepted,
                                 const Core::LastReason& aReason) const;

  Core::Loop& loop_;
  DatabaseOptions options_;
  Wire::HttpServer server_;
  Wire::HttpClient client_;
  Faults faults_;
  LogFile file_;
  SqlEngine engine_;
  std::unique_ptr<ReplicaState> state_;
  std::unique_ptr<ExchangeRunner> runner_;
  std::unique_ptr<LogFollower> follower_;
  ChangePollers pollers_;
  std::size_t connecting_ = 0;
  std::string lastExchangeAnswer_;
};

} // namespace StandIn
