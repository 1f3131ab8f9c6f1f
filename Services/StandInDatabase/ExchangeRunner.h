#pragma once

#include "DatabaseOptions.h"

#include <LibCore/Loop.h>
#include <LibStandIn/ReplicaState.h>
#include <LibStandIn/SqlEngine.h>
#include <LibWire/HttpMessage.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace StandIn {

/** One request of a client: transaction control and statements. */
struct Exchange
{
  std::uint64_t number = 0;
  /** The term that the database's log must have; 0 accepts any term. */
  Term term = 0;
  bool begin = false;
  bool commit = false;
  bool rollback = false;
  bool readOnly = false;
  std::vector<SqlStatement> statements;
};

/** Receives the response's JSON, without the exchange number and position. */
using ExchangeCallback = std::function<void(boost::json::object)>;

/**
 * Runs the exchanges of clients: one transaction per connection, a limited
 * number of concurrent exchanges, and one writing transaction at a time.
 */
class ExchangeRunner
{
public:
  ExchangeRunner(Core::Loop& aLoop,
                 const DatabaseOptions& aOptions,
                 ReplicaState& aState,
                 SqlEngine& aEngine);

  /** Sets the listener called after each commit that appended to the log. */
  void OnCommit(std::function<void()> aListener);

  /** aSender is the sender named in the connection's requests. */
  void OpenClient(Wire::ConnectionNumber aConnection,
                  const std::string& aSender);
  /** Rolls back the connection's open transaction and removes its client. */
  void CloseClient(Wire::ConnectionNumber aConnection);
  /** Rolls back all transactions; called when the data is to be replaced. */
  void AbortAll();

  bool IsOpen(Wire::ConnectionNumber aConnection) const;
  std::size_t Clients() const { return clients_.size(); }
  /** Returns the open connections with the sender that opened each. */
  std::map<Wire::ConnectionNumber, std::string> OpenConnections() const;

  void Run(Wire::ConnectionNumber aConnection,
           Exchange aExchange,
           Core::Duration aExtraTime,
           ExchangeCallback aCallback);

private:
  struct Client
  {
    std::unique_ptr<SqlSession> session;
    std::string sender;
    /** The writing statements that the open transaction has run so far. */
    std::vector<SqlStatement> written;
  };
  struct PendingExchange
  {
    Wire::ConnectionNumber connection = 0;
    Exchange exchange;
    Core::Duration time{ 0 };
    bool writes = false;
    ExchangeCallback callback;
  };

  void StartPending();
  bool MayStart(const PendingExchange& aPending) const;
  void Start(PendingExchange aPending);
  boost::json::object Execute(Wire::ConnectionNumber aConnection,
                              const Exchange& aExchange);
  std::optional<boost::json::object> Rejection(const Client& aClient,
                                               const Exchange& aExchange) const;
  boost::json::object RunStatements(Wire::ConnectionNumber aConnection,
                                    Client& aClient,
                                    const Exchange& aExchange);
  bool Commit(Client& aClient);
  void EndTransaction(Wire::ConnectionNumber aConnection, Client& aClient);

  Core::Loop& loop_;
  const DatabaseOptions& options_;
  ReplicaState& state_;
  SqlEngine& engine_;
  std::function<void()> commitListener_;
  std::map<Wire::ConnectionNumber, Client> clients_;
  std::deque<PendingExchange> pending_;
  std::size_t running_ = 0;
  /** The connection whose transaction holds the write lock; 0 if none. */
  Wire::ConnectionNumber writer_ = 0;
  std::unique_ptr<SqlSession> parser_;
};

} // namespace StandIn
