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

/** What a client asks on its connection in one exchange. */
struct Exchange
{
  std::uint64_t number = 0;
  /** Run only while the database's log is of this term; 0 asks nothing. */
  Term term = 0;
  bool begin = false;
  bool commit = false;
  bool rollback = false;
  bool readOnly = false;
  std::vector<SqlStatement> statements;
};

/** The answer's JSON, without the exchange's number and the position. */
using ExchangeCallback = std::function<void(boost::json::object)>;

/**
 * Runs clients' exchanges: one transaction a connection, slots for the
 * statements that run at once, one writer at a time.
 */
class ExchangeRunner
{
public:
  ExchangeRunner(Core::Loop& aLoop,
                 const DatabaseOptions& aOptions,
                 ReplicaState& aState,
                 SqlEngine& aEngine);

  /** Called after each commit that appended to the log. */
  void OnCommit(std::function<void()> aListener);

  /** aSender is whom the connection's requests name. */
  void OpenClient(Wire::ConnectionNumber aConnection,
                  const std::string& aSender);
  /** Rolls back what the connection had open. */
  void CloseClient(Wire::ConnectionNumber aConnection);
  /** Ends every transaction; the data is about to change under them. */
  void AbortAll();

  bool IsOpen(Wire::ConnectionNumber aConnection) const;
  std::size_t Clients() const { return clients_.size(); }
  /** The open connections, and who opened each. */
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
    /** What the open transaction has written so far. */
    std::vector<SqlStatement> written;
  };
  struct Waiting
  {
    Wire::ConnectionNumber connection = 0;
    Exchange exchange;
    Core::Duration time{ 0 };
    bool writes = false;
    ExchangeCallback callback;
  };

  void StartWaiting();
  bool MayStart(const Waiting& aWaiting) const;
  void Start(Waiting aWaiting);
  boost::json::object Execute(Wire::ConnectionNumber aConnection,
                              const Exchange& aExchange);
  std::optional<boost::json::object> Refusal(const Client& aClient,
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
  std::deque<Waiting> waiting_;
  std::size_t running_ = 0;
  /** The connection whose transaction holds the write lock; 0 is none. */
  Wire::ConnectionNumber writer_ = 0;
  std::unique_ptr<SqlSession> parser_;
};

} // namespace StandIn
