#pragma once

#include <LibAuthority/GroupSupervisor.h>
#include <LibPooler/Fleet.h>
#include <LibSql/DatabaseLink.h>

#include <map>
#include <memory>
#include <string>

namespace Pooler {

/**
 * One connection to each database that is watched or replaced, apart from the
 * pools, so that no client's statement stands in the way of a question.
 */
class ControlLinks
{
public:
  ControlLinks(Core::Scheduler& aScheduler, Sql::DatabaseDialer& aDialer);
  ~ControlLinks();

  void SetDatabases(const DatabaseList& aDatabases);

  /** Sends a command of our own; its answer is a status. */
  void Ask(const std::string& aId,
           const Sql::DatabaseCommand& aCommand,
           Core::Duration aTimeout,
           Authority::SupervisorPort::ProbeHandler aDone);

  /** Closes all connections. */
  void CloseAll() { links_.clear(); }

private:
  struct Question;
  void Dial(const std::shared_ptr<Question>& aQuestion);
  void Send(const std::shared_ptr<Question>& aQuestion);
  void Finish(const std::shared_ptr<Question>& aQuestion,
              const Authority::ProbeOutcome& aOutcome);

  Core::Scheduler& scheduler_;
  Sql::DatabaseDialer& dialer_;
  DatabaseList databases_;
  std::map<std::string, std::shared_ptr<Sql::DatabaseLink>> links_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Pooler
