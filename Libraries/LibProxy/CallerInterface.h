#pragma once

#include "PeerRouter.h"
#include "TransactionTable.h"

#include <LibProxy/GroupHome.h>
#include <LibRequest/RequestMessage.h>
#include <LibWire/HttpServer.h>

#include <functional>
#include <string>

namespace Proxy {

/** What the caller interface asks of the proxy that it is part of. */
class CallerHost
{
public:
  virtual ~CallerHost() = default;
  /** The home object of aGroup, or null when no such group is known. */
  virtual GroupHome* HomeOf(const std::string& aGroup) = 0;
  /** Why no request may be served now; empty when they may. */
  virtual std::string UnfitReason() const = 0;
};

/**
 * The callers' HTTP interface, the same on the callers' address and, behind a
 * secret, on the peers'. docs/callers.md describes it.
 */
class CallerInterface
{
public:
  CallerInterface(HomeContext& aContext,
                  CallerHost& aHost,
                  PeerRouter& aRouter,
                  TransactionTable& aTransactions);

  void AddRoutes(Wire::HttpServer& aServer);
  /** The same routes for other proxies; what they send is not sent on. */
  void AddPeerRoutes(Wire::HttpServer& aServer, const std::string& aSecret);

private:
  /** A caller's request, read, with the reply that it is owed. */
  struct Incoming
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
  using IncomingHandle = std::shared_ptr<Incoming>;
  using Action = std::function<void(GroupHome&, const IncomingHandle&)>;

  /** One route: how to read its body, and what its home does. */
  struct RouteSpec
  {
    Wire::HttpMethod method;
    std::string pattern;
    /** Fills in what StatementRequest::Parse would ask for but this lacks. */
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
  void TakePeerFields(const Wire::HttpRequest& aRequest, Incoming& aIncoming);
  void Dispatch(const Action& aRun, const IncomingHandle& aIncoming);
  void RouteOn(const Action& aRun, const IncomingHandle& aIncoming);
  void RunHere(const Action& aRun, const IncomingHandle& aIncoming);

  void RunStatement(GroupHome& aHome, const IncomingHandle& aIncoming);
  void LookUp(GroupHome& aHome, const IncomingHandle& aIncoming);
  void Begin(GroupHome& aHome, const IncomingHandle& aIncoming);
  void RunInTransaction(GroupHome& aHome, const IncomingHandle& aIncoming);
  void Commit(GroupHome& aHome, const IncomingHandle& aIncoming);
  void Rollback(GroupHome& aHome, const IncomingHandle& aIncoming);

  void Answer(const IncomingHandle& aIncoming,
              const Request::RequestAnswer& aAnswer);
  void AnswerTransaction(const IncomingHandle& aIncoming,
                         const TransactionAnswer& aAnswer);
  /** Not run, or pending where an earlier try may have run. */
  void AnswerRefused(const IncomingHandle& aIncoming,
                     const std::string& aReason);

  HomeContext& context_;
  CallerHost& host_;
  PeerRouter& router_;
  TransactionTable& transactions_;
};

} // namespace Proxy
