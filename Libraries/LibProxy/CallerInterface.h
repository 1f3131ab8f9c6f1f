#pragma once

#include "PeerRouter.h"
#include "TransactionTable.h"

#include <LibProxy/GroupHome.h>
#include <LibRequest/RequestMessage.h>
#include <LibWire/HttpServer.h>

#include <functional>
#include <string>

namespace Proxy {

/** What the caller interface requires of the proxy. */
class CallerHost
{
public:
  virtual ~CallerHost() = default;
  /** The GroupHome of aGroup, or null if there is no such group. */
  virtual GroupHome* HomeOf(const std::string& aGroup) = 0;
  /** Why this node can't serve requests now; empty if it can. */
  virtual std::string NotReadyReason() const = 0;
};

/**
 * The HTTP interface for callers, described in docs/callers.md. The peers'
 * address offers the same routes to other proxies, protected by a secret.
 */
class CallerInterface
{
public:
  CallerInterface(HomeContext& aContext,
                  CallerHost& aHost,
                  PeerRouter& aRouter,
                  TransactionTable& aTransactions);

  void AddRoutes(Wire::HttpServer& aServer);
  /** Adds the routes for other proxies; their requests are not forwarded. */
  void AddPeerRoutes(Wire::HttpServer& aServer, const std::string& aSecret);

private:
  /** A parsed request of a caller, with the handle to reply to it. */
  struct IncomingRequest
  {
    std::string group;
    std::string transaction;
    Wire::HttpMethod method = Wire::HttpMethod::Post;
    std::string path;
    std::string body;
    bool isFromPeer = false;
    Request::StatementRequest request;
    Core::Instant arrivedAt;
    Wire::HttpReplyHandle reply;
  };
  using IncomingHandle = std::shared_ptr<IncomingRequest>;
  using Action = std::function<void(GroupHome&, const IncomingHandle&)>;

  /** A route: how to parse its body, and the action to run at the home. */
  struct RouteSpec
  {
    Wire::HttpMethod method;
    std::string pattern;
    /**
     * Parses the request. Adds placeholders for fields which
     * StatementRequest::Parse requires but this route does not have.
     */
    std::function<std::optional<Request::StatementRequest>(
      const Wire::HttpRequest&,
      Core::Findings&)>
      read;
    Action run;
  };

  std::vector<RouteSpec> Routes();
  void Handle(const RouteSpec& aSpec,
              const Wire::HttpRequest& aRequest,
              bool aIsFromPeer,
              const Wire::HttpReplyHandle& aReply);
  IncomingHandle Read(const RouteSpec& aSpec,
                      const Wire::HttpRequest& aRequest,
                      bool aIsFromPeer,
                      const Wire::HttpReplyHandle& aReply);
  void ApplyPeerParameters(const Wire::HttpRequest& aRequest,
                           IncomingRequest& aIncoming);
  void Dispatch(const Action& aRun, const IncomingHandle& aIncoming);
  void ForwardToHome(const Action& aRun, const IncomingHandle& aIncoming);
  void RunLocally(const Action& aRun, const IncomingHandle& aIncoming);

  void RunStatement(GroupHome& aHome, const IncomingHandle& aIncoming);
  void LookUp(GroupHome& aHome, const IncomingHandle& aIncoming);
  void Begin(GroupHome& aHome, const IncomingHandle& aIncoming);
  void RunInTransaction(GroupHome& aHome, const IncomingHandle& aIncoming);
  void Commit(GroupHome& aHome, const IncomingHandle& aIncoming);
  void Rollback(GroupHome& aHome, const IncomingHandle& aIncoming);

  void SendReply(const IncomingHandle& aIncoming,
                 const Request::StatementResponse& aAnswer);
  void SendTransactionReply(const IncomingHandle& aIncoming,
                            const TransactionResult& aAnswer);
  /**
   * Replies that the request was refused: "not run", or "pending" if an earlier
   * attempt may have run.
   */
  void SendRefusal(const IncomingHandle& aIncoming, const std::string& aReason);

  HomeContext& context_;
  CallerHost& host_;
  PeerRouter& router_;
  TransactionTable& transactions_;
};

} // namespace Proxy
