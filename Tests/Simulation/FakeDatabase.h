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

/** Where a database's fakes find each other. */
class FakeDatabase;
using DatabaseDirectory = std::map<std::string, FakeDatabase*>;

/**
 * A database under virtual time: the stand-in's replication rules over a toy
 * table of tags and a ledger. "PUT" adds its parameter as a tag, "COUNT"
 * counts one; the ledger's own statements are known by how they begin.
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
  /** How often each tag is in the data. */
  const std::map<std::string, std::int64_t>& Tags() const { return tags_; }

  /** Faults. */
  void Kill();
  void Restart(bool aLosesFile);
  void SetLag(Core::Duration aLag) { lag_ = aLag; }
  /** The connections that are open now answer nobody any more. */
  void SilenceOpen();
  /** The next aCount answers are those of another exchange. */
  void MixUpAnswers(int aCount) { wrongAnswers_ = aCount; }

  /** What links ask; each runs at this database's time. */
  Endpoint::DatabaseReport Report() const;
  std::uint64_t Connect();
  void Close(std::uint64_t aConnection);
  bool IsSilent(std::uint64_t aConnection) const;
  Endpoint::BatchResponse Run(std::uint64_t aConnection,
                              const Endpoint::Batch& aBatch);
  /** Puts another exchange's answer into aAnswer, when one is due. */
  bool MixUp(Endpoint::BatchResponse& aAnswer);
  Endpoint::ControlResponse Fence(const Endpoint::ControlOrder& aOrder);
  Endpoint::ControlResponse Promote(const Endpoint::ControlOrder& aOrder);
  Endpoint::ControlResponse Follow(const Endpoint::ControlOrder& aOrder,
                                   const std::string& aPrimary);
  /** Calls aCallback at the next change, or after aWait. */
  void AwaitChange(const std::optional<Endpoint::DatabaseReport>& aKnown,
                   Core::Duration aWait,
                   std::function<void()> aCallback);

  void SaveMeta(const StandIn::ReplicaMeta&) override {}
  void Append(const StandIn::LogEntry&) override {}
  void TruncateTo(std::uint64_t) override {}

private:
  using Statements = std::vector<StandIn::SqlStatement>;
  /** An open transaction's writes. */
  struct Connection
  {
    bool inTransaction = false;
    Statements written;
  };

  void StartFollowing();
  void Pull(int aRound);
  void TakeBatch(const StandIn::LogBatch& aBatch, int aRound);
  void Apply(const Statements& aStatements);
  void Rebuild();
  void NotifyChange();
  std::optional<Endpoint::BatchResponse> Refuse(const Connection& aConnection,
                                                const Endpoint::Batch& aBatch);
  std::optional<Endpoint::StatementResult> RunOne(
    Connection& aConnection,
    const Endpoint::Statement& aStatement);
  Endpoint::ControlResponse Answer(bool aAccepted,
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
  int wrongAnswers_ = 0;
  Endpoint::BatchResponse lastAnswer_;
  /** Counts pull loops, so that an ended one stops. */
  int round_ = 0;
  /** Counts pulls, so that only the last one is tried again. */
  std::uint64_t pulls_ = 0;
  std::list<std::function<void()>> changeWaiters_;
};

} // namespace Simulation
