#pragma once

#include "Clients.h"
#include "Database.h"
#include "Link.h"
#include "Node.h"
#include "Platform.h"
#include "Record.h"

#include <LibCore/Loop.h>

#include <memory>
#include <string>
#include <vector>

namespace Review {

/** What the command line says. */
struct Options
{
  std::string scenario;
  /** The path of mastichold-node. */
  std::string program;
  /** A temporary folder for settings and logs. */
  std::string folder;
  std::string recordPath;
  /** False to play the scenario without its disruption. */
  bool isTroubled = true;
};

/** How a run ended, as an exit code. */
enum class Outcome : int
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

/** The database name that clients connect to. */
inline constexpr const char* kRouteHost = "entries";
/** The service, which is a group of three databases. */
inline constexpr const char* kService = "festival";
/** A second service, which routes may name. */
inline constexpr const char* kOtherService = "autumn";

/** A route of the kind "leader". */
struct RouteTo
{
  std::string host;
  std::string service;
  int timeoutMs = 1000;
  int targetLatencyMs = 200;
};

/** A small deployment: the platform, two groups of databases and the nodes. */
class World
{
public:
  /** aDelay is the time from a statement's arrival to its answer. */
  World(Options aOptions, Core::Duration aDelay);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  void Configure(int aMaxConnections,
                 int aVersion = 1,
                 const std::vector<RouteTo>& aRoutes = {
                   { kRouteHost, kService } });
  /** Starts a process; aStore and aPromotions are its platform's addresses. */
  Node& StartNode(const std::string& aName,
                  const std::string& aZone,
                  NodeAddresses aAddresses,
                  const Wire::Address& aStore,
                  const Wire::Address& aPromotions);
  /** Waits until a read is served at each node; false if that takes long. */
  bool AwaitService();

  bool RunUntil(const std::function<bool()>& aIsDone, Core::Duration aLimit);
  void RunFor(Core::Duration aTime);
  /** Runs one statement in a session of its own. */
  Reply Query(Node& aNode,
              const std::string& aRequestId,
              const std::string& aText,
              const std::string& aHost = kRouteHost);

  /** The primary of the first service. */
  Database& Primary();
  const Options& GetOptions() const { return options_; }
  /** True if a node has ended by itself. */
  bool HasNodeEnded();

  // Public, since this is a test's fixture.
  Core::Loop loop;
  Record record;
  Platform platform;
  std::vector<std::unique_ptr<Database>> databases;
  std::vector<std::unique_ptr<Node>> nodes;

private:
  void AddDatabases(const std::string& aService,
                    const std::vector<std::string>& aIds,
                    Core::Duration aDelay);
  void WriteDatabaseRows();

  Options options_;
  std::vector<Wire::Address> databaseAddresses_;
  std::vector<std::string> databaseIds_;
  std::vector<std::string> databaseServices_;
  int beats_ = 0;
  Core::TimerHandle beat_;
};

/** A read transaction is left open on a pooled connection. */
Outcome
PlayPooledTransaction(const Options& aOptions);

/** Configurations don't reach nodes whose connections to the store are silent.
 */
Outcome
PlaySilentConnections(const Options& aOptions);

/** Session values pass from one client to another. */
Outcome
PlayOwnerHandover(const Options& aOptions);

} // namespace Review
