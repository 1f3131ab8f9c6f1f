#pragma once

#include <LibAuthority/GroupSupervisor.h>
#include <LibPooler/Fleet.h>
#include <LibSql/DatabaseLink.h>

#include <map>
#include <memory>
#include <string>

namespace Pooler {

/**
 * Holds one control connection to each supervised database, separate from the
 * pools, so that client statements don't delay probes and control commands.
 */
class ControlLinks
{
public:
  ControlLinks(Core::Scheduler& aScheduler, Sql::DatabaseDialer& aDialer);
  ~ControlLinks();

  void SetDatabases(const DatabaseList& aDatabases);

  /**
   * Sends a status or control command within aTimeout or not at all. The
   * outcome holds the status that the database returns; it is empty after
   * aTimeout or if aId isn't listed.
   */
  void SendCommand(const std::string& aId,
                   const Sql::DatabaseCommand& aCommand,
                   Core::Duration aTimeout,
                   Authority::SupervisorPort::ProbeHandler aDone);

  /**
   * Requests the status of a database that isn't listed any more, at its last
   * known address. The outcome is empty without a reply of this database.
   */
  void SendStatusToUnlisted(const std::string& aId,
                            Core::Duration aTimeout,
                            Authority::SupervisorPort::ProbeHandler aDone);

  /** Closes all connections. */
  void CloseAll() { links_.clear(); }

private:
  struct PendingCommand;
  using Pending = std::shared_ptr<PendingCommand>;
  Pending MakePending(const std::string& aId,
                      const Sql::DatabaseCommand& aCommand,
                      Core::Duration aTimeout,
                      Authority::SupervisorPort::ProbeHandler aDone);
  /** Sends to aDatabase; if it is null, fails. */
  void Start(const Pending& aPending, const Database* aDatabase);
  void Dial(const Pending& aPending, const Database& aDatabase);
  void Send(const Pending& aPending);
  void Finish(const Pending& aPending, const Authority::ProbeOutcome& aOutcome);

  Core::Scheduler& scheduler_;
  Sql::DatabaseDialer& dialer_;
  DatabaseList databases_;
  /** The last listings of databases that aren't listed any more. */
  DatabaseList unlisted_;
  std::map<std::string, std::shared_ptr<Sql::DatabaseLink>> links_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Pooler
