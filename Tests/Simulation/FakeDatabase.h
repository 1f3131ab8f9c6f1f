#pragma once

#include "Network.h"

#include <LibEndpoint/EndpointLink.h>
#include <LibStandIn/ReplicaState.h>
#include <LibStandIn/SqlEngine.h>

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Simulation {

class FakeDatabase;
/** The fake databases of a scenario, by name. */
using DatabaseDirectory = std::map<std::string, FakeDatabase*>;

/**
 * A database under virtual time. It follows the replication rules of the
 * stand-in and stores a table of tags and a request ledger in memory. "PUT"
 * adds one occurrence of the tag in its parameter and "COUNT" returns the
 * number of occurrences. Ledger statements are recognized by their prefix.
 */
class FakeDatabase final : public StandIn::ReplicaStorage
{
public:
  FakeDatabase(std::string aName,
               VirtualTime& aTime,
               Network& aNetwork,
               DatabaseDirectory& aDirectory);

  const std::string& Name() const { return name_; }
  ActorTime& Time() { return time_; }
  bool IsUp() const { return isUp_; }
  const StandIn::ReplicaState& State() const { return *state_; }
  /** The number of occurrences of each tag. */
  const std::map<std::string, std::int64_t>& Tags() const { return tags_; }

  /** Faults that a scenario injects. */
  void Kill();
  void Restart(bool aLosesFile);
  void SetLag(Core::Duration aLag) { lag_ = aLag; }
  /** Stops all responses on the connections that are open now. */
  void SilenceOpenConnections();
  /** Replaces each of the next aCount responses by that of another batch. */
  void MixUpResponses(int aCount) { wrongResponses_ = aCount; }

  /** Operations that links request; each runs on this database's time. */
  Endpoint::DatabaseReport Report() const;
  std::uint64_t Connect();
  void Close(std::uint64_t aConnection);
  bool IsSilent(std::uint64_t aConnection) const;
  Endpoint::BatchResponse Run(std::uint64_t aConnection,
                              const Endpoint::Batch& aBatch);
  /**
   * Replaces aResponse by the response to another batch if MixUpResponses()
   * requested it. Returns whether the response was replaced.
   */
  bool MixUp(Endpoint::BatchResponse& aResponse);
  Endpoint::ControlResponse Fence(const Endpoint::ControlOrder& aOrder);
  Endpoint::ControlResponse Promote(const Endpoint::ControlOrder& aOrder);
  Endpoint::ControlResponse Follow(const Endpoint::ControlOrder& aOrder,
                                   const std::string& aPrimary);
  /**
   * Calls aCallback at the next change or after aWait. Calls it at once if
   * the state already differs from aKnown, or if aKnown is empty.
   */
  void AwaitChange(const std::optional<Endpoint::DatabaseReport>& aKnown,
                   Core::Duration aWait,
                   std::function<void()> aCallback);

  void SaveMeta(const StandIn::ReplicaMeta&) override {}
  void Append(const StandIn::LogEntry&) override {}
  void TruncateTo(std::uint64_t) override {}

private:
  using Statements = std::vector<StandIn::SqlStatement>;
  /** A connection's transaction state and its uncommitted writes. */
  struct Connection
  {
    bool inTransaction = false;
    Statements written;
  };

  void StartFollowing();
  void Pull(int aPullLoop);
  void AcceptBatch(const StandIn::LogBatch& aBatch, int aPullLoop);
  void Apply(const Statements& aStatements);
  void Rebuild();
  void NotifyChange();
  std::optional<Endpoint::BatchResponse> CheckBatch(
    const Connection& aConnection,
    const Endpoint::Batch& aBatch);
  std::optional<Endpoint::StatementResult> RunOne(
    Connection& aConnection,
    const Endpoint::Statement& aStatement);
  Endpoint::ControlResponse Respond(bool aAccepted,
                                    const Core::LastReason& aReason) const;

  std::string name_;
  ActorTime time_;
  Network& network_;
  DatabaseDirectory& directory_;
  std::unique_ptr<StandIn::ReplicaState> state_;
  bool isUp_ = true;
  int identities_ = 1;
  Core::Duration lag_{ 0 };
  std::map<std::string, std::int64_t> tags_;
  /** Request id to outcome ("run" or "tombstone"). */
  std::map<std::string, std::string> ledger_;
  std::map<std::uint64_t, Connection> connections_;
  std::set<std::uint64_t> silent_;
  std::uint64_t lastConnection_ = 0;
  int wrongResponses_ = 0;
  Endpoint::BatchResponse lastResponse_;
  /** Number of the current pull loop; tasks of earlier loops stop. */
  int pullLoop_ = 0;
  /** Number of the last pull; only that one is retried after a timeout. */
  std::uint64_t pulls_ = 0;
  std::list<std::function<void()>> changeWaiters_;
};

} // namespace Simulation
