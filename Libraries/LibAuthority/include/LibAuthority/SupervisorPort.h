#pragma once

#include <LibAuthority/CoordinationStore.h>
#include <LibAuthority/GroupRecord.h>
#include <LibAuthority/PrimaryAuthority.h>
#include <LibSql/DatabaseLink.h>

#include <boost/json.hpp>

#include <functional>
#include <optional>
#include <string>

namespace Authority {

/** The result of a request to promote a database. */
enum class PromoteResult
{
  /** The platform accepted it; the database becomes primary shortly after. */
  Accepted,
  /** The database is not running, or the platform refused the request. */
  Rejected,
  /** No reply: the promotion may take effect later. */
  Unknown,
};

inline constexpr Core::EnumNames<PromoteResult, 3> kPromoteResultNames{ {
  { { PromoteResult::Accepted, "accepted" },
    { PromoteResult::Rejected, "rejected" },
    { PromoteResult::Unknown, "unknown" } },
} };

/** The result of a health check of a database. */
struct ProbeOutcome
{
  /** None without a reply. */
  std::optional<Sql::DatabaseStatus> status;
  /** The database is alive but too busy to reply. */
  bool isBusy = false;
  /** Its VM refused the connection: no process listens. */
  bool isRefused = false;
};

/** The interface through which a supervisor uses its node. */
class SupervisorPort
{
public:
  virtual ~SupervisorPort() = default;
  using ProbeHandler = std::function<void(ProbeOutcome)>;

  /** True while this node holds the failover duty for at least aMargin. */
  virtual bool HoldsDuty(Core::Duration aMargin) const = 0;

  /**
   * True unless enough peers reach the group's primary, or many peers have not
   * reported recently and aSilence is still short. aSilence is how long the
   * primary has not replied to this node.
   */
  virtual bool IsUnreachableByPeers(const std::string& aGroup,
                                    Core::Duration aSilence) const = 0;

  /**
   * True if a database's process is known to have ended for good, so that no
   * node can be using it.
   */
  virtual bool HasEnded(const std::string& aId) const = 0;

  /**
   * True if the group's primary is overloaded because it runs all reads, every
   * replica being too far behind, and all nodes can be notified of a
   * switchover.
   */
  virtual bool IsOverloaded(const std::string& aGroup) const = 0;

  /** Requests a database's status. Gives up after aTimeout. */
  virtual void Probe(const std::string& aId,
                     Core::Duration aTimeout,
                     ProbeHandler aDone) = 0;

  /**
   * Requests the status of a database that the platform no longer lists, at its
   * last known address. Passes no status if this node never saw it listed.
   */
  virtual void ProbeUnlisted(const std::string& aId,
                             Core::Duration aTimeout,
                             ProbeHandler aDone) = 0;

  /**
   * Demotes a database to a replica if it is primary of a term below aTerm.
   * Passes its status afterwards. Sends nothing, and passes no status, unless
   * this node holds the failover duty for aTimeout.
   */
  virtual void StepDown(const std::string& aId,
                        Session::Term aTerm,
                        Core::Duration aTimeout,
                        ProbeHandler aDone) = 0;

  /** Requests the platform to promote a database. Gives up after aTimeout. */
  virtual void Promote(const std::string& aGroup,
                       const std::string& aId,
                       Core::Duration aTimeout,
                       std::function<void(PromoteResult)> aDone) = 0;

  /**
   * The version with which the store would report a row that doesn't exist: the
   * number 0 in the store's current era.
   */
  virtual std::uint64_t VersionOfMissingRow() const = 0;
  /**
   * The version of the group's row if it holds something that can't be read;
   * none otherwise.
   */
  virtual std::optional<std::uint64_t> VersionOfUnreadableRow(
    const std::string& aGroup) const = 0;

  /** Writes the record if the stored version is still aRecord.version. */
  virtual void WriteRecord(const GroupRecord& aRecord,
                           std::function<void(WriteOutcome)> aDone) = 0;

  /**
   * Requests all other nodes to give up their authority over the group. Calls
   * aDone once all of them have confirmed; otherwise never.
   */
  virtual void RevokeEverywhere(const GroupRecord& aRecord,
                                std::function<void()> aDone) = 0;

  /** Writes a structured log line. */
  virtual void Log(std::string_view aWhat, boost::json::object aFacts) = 0;
};

struct SupervisorTiming
{
  /** How long a node may use a primary after a read of the record. */
  AuthorityLease authorityLease;
  /** Upper bound of how far the clocks of two VMs drift during a lease. */
  Core::Duration clockMargin{ 0 };
  /** The interval between health checks of the primary. */
  Core::Duration probeInterval{ 0 };
  /** The timeout of a health check. */
  Core::Duration probeTimeout{ 0 };
  /**
   * A primary that has not replied for this long is replaced if
   * SupervisorPort::IsUnreachableByPeers is true as well.
   */
  Core::Duration silenceLimit{ 0 };
  /** How long the choice of a candidate waits for replicas. */
  Core::Duration choiceTimeout{ 0 };
  /** The timeout of a promotion request. */
  Core::Duration promoteTimeout{ 0 };
  /**
   * If a promotion has had no effect for this long, a candidate is chosen
   * again.
   */
  Core::Duration promotionRetryInterval{ 0 };
  /**
   * With synchronous replicas: how long a primary may be used after the
   * platform has listed it as leaving.
   */
  Core::Duration leavingTime{ 0 };
};

} // namespace Authority
