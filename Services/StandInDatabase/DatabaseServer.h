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

/** The HTTP interface of one stand-in database; see docs/databases.md. */
class DatabaseServer
{
public:
  DatabaseServer(Core::Loop& aLoop, DatabaseOptions aOptions);

  /** Opens the files and listens. Returns the address it is bound to. */
  std::optional<Wire::Address> Start(Core::LastReason& aReason);

private:
  using JsonHandler = std::function<void(const Wire::HttpRequest&,
                                         Wire::FieldReader&,
                                         const Wire::HttpReplyHandle&)>;

  bool OpenFiles(Core::LastReason& aReason);
  void AddRoutes();
  /** Adds a route whose requests and replies the set faults may drop. */
  void Route(Wire::HttpMethod aMethod,
             const std::string& aPattern,
             Wire::HttpHandler aHandler);
  void RouteJson(const std::string& aPattern, JsonHandler aHandler);

  void Connect(const Wire::HttpRequest& aRequest,
               const Wire::HttpReplyHandle& aReply);
  void RunExchange(const Wire::HttpRequest& aRequest,
                   Wire::FieldReader& aReader,
                   const Wire::HttpReplyHandle& aReply);
  void ReplyToExchange(const Wire::HttpRequest& aRequest,
                       std::uint64_t aNumber,
                       boost::json::object aResponse,
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

  void AcceptBatch(const LogBatch& aBatch);
  void RebuildData();
  boost::json::object Report() const;
  /** Returns the report, with aReason if the call was rejected. */
  Wire::HttpResponse ControlResponse(bool aAccepted,
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
  std::string lastExchangeReply_;
};

} // namespace StandIn
