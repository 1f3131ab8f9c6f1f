#include "World.h"

#include <utility>

namespace Review {

using namespace std::chrono_literals;

namespace {

/** How often a database writes its row. */
constexpr Core::Duration kHeartbeat = 1200ms;

constexpr Core::Duration kStartTimeout = 20s;

constexpr Core::Duration kPromotionTime = 600ms;

} // namespace

World::World(Options aOptions, Core::Duration aDelay)
  : record(aOptions.recordPath)
  , platform(loop)
  , options_(std::move(aOptions))
{
  AddDatabases(kService, { "i-1", "i-2", "i-3" }, aDelay);
  AddDatabases(kOtherService, { "i-4", "i-5", "i-6" }, aDelay);
  WriteDatabaseRows();
  platform.OnPromote(
    [this](const std::string& aService, const std::string& aId) {
      record.Add("promote " + aId);
      loop.DeferFor(kPromotionTime, [this, aService, aId] {
        std::vector<Database*> group;
        Database* next = nullptr;
        for (std::size_t i = 0; i < databases.size(); ++i) {
          if (databaseServices_[i] == aService)
            group.push_back(databases[i].get());
          if (databaseIds_[i] == aId)
            next = databases[i].get();
        }
        if (next != nullptr && !next->IsPrimary())
          next->Promote(group);
      });
    });
  beat_ = loop.Every(kHeartbeat, [this] { WriteDatabaseRows(); });
}

World::~World()
{
  nodes.clear();
}

void
World::AddDatabases(const std::string& aService,
                    const std::vector<std::string>& aIds,
                    Core::Duration aDelay)
{
  const std::size_t first = databases.size();
  for (const std::string& id : aIds) {
    databases.push_back(std::make_unique<Database>(loop, aService, id, aDelay));
    databaseIds_.push_back(id);
    databaseServices_.push_back(aService);
    databaseAddresses_.push_back(databases.back()->Start());
  }
  databases[first]->Lead();
  databases[first]->SetReplicas(
    { databases[first + 1].get(), databases[first + 2].get() });
}

void
World::WriteDatabaseRows()
{
  ++beats_;
  for (std::size_t i = 0; i < databases.size(); ++i) {
    const boost::json::object row{
      { "service", databaseServices_[i] },
      { "address", databaseAddresses_[i].ToText() },
      { "zone", "z1" },
      { "version", "1" },
      { "slots", 5 },
      { "state", "ready" },
      { "cold-left-ms", 0 },
      { "seq", beats_ },
      { "born", 1000 },
      { "db-role", databases[i]->IsPrimary() ? "leader" : "follower" }
    };
    platform.Put("servers", databaseIds_[i], boost::json::serialize(row));
  }
}

void
World::Configure(int aMaxConnections,
                 int aVersion,
                 const std::vector<RouteTo>& aRoutes)
{
  boost::json::array routes;
  for (const RouteTo& route : aRoutes)
    routes.push_back(
      boost::json::object{ { "name", "r-" + route.host },
                           { "host", route.host },
                           { "service", route.service },
                           { "kind", "leader" },
                           { "timeout-ms", route.timeoutMs },
                           { "target-latency-ms", route.targetLatencyMs },
                           { "max-staleness-ms", 0 },
                           { "priority", 1 } });
  boost::json::array services;
  for (const char* name : { kService, kOtherService })
    services.push_back(boost::json::object{ { "name", name },
                                            { "max-conns", aMaxConnections } });
  const boost::json::object configuration{
    { "version", aVersion },
    { "routes", std::move(routes) },
    { "services", std::move(services) },
    { "limits", boost::json::object{ { "tx-idle-ms", 10000 } } }
  };
  platform.Put("op", "config", boost::json::serialize(configuration));
}

Node&
World::StartNode(const std::string& aName,
                 const std::string& aZone,
                 NodeAddresses aAddresses,
                 const Wire::Address& aStore,
                 const Wire::Address& aPromotions)
{
  record.Add("start " + aName);
  nodes.push_back(std::make_unique<Node>(aName,
                                         aZone,
                                         options_.program,
                                         options_.folder,
                                         std::move(aAddresses),
                                         aStore,
                                         aPromotions));
  return *nodes.back();
}

bool
World::AwaitService()
{
  const Core::Instant end = loop.Now() + kStartTimeout;
  for (const auto& node : nodes) {
    while (!Query(*node, "probe", "FETCH probe").IsSuccess()) {
      if (loop.Now() > end)
        return false;
      RunFor(100ms);
    }
  }
  return true;
}

bool
World::RunUntil(const std::function<bool()>& aIsDone, Core::Duration aLimit)
{
  const Core::Instant end = loop.Now() + aLimit;
  bool isDone = aIsDone();
  const auto check = loop.Every(2ms, [&] {
    isDone = isDone || aIsDone();
    if (isDone || loop.Now() > end)
      loop.Stop();
  });
  if (!isDone)
    loop.Run();
  return isDone;
}

void
World::RunFor(Core::Duration aTime)
{
  const auto end = loop.After(aTime, [this] { loop.Stop(); });
  loop.Run();
}

Reply
World::Query(Node& aNode,
             const std::string& aRequestId,
             const std::string& aText,
             const std::string& aHost)
{
  std::vector<Reply> replies;
  ClientSession session(
    loop, aNode.Addresses().clients, aHost, [&replies](const Reply& aReply) {
      replies.push_back(aReply);
    });
  RunUntil([&] { return !replies.empty(); }, 3s);
  if (replies.empty())
    return { .isClosed = true, .rows = {}, .signature = {}, .error = {} };
  if (!replies.front().IsSuccess())
    return replies.front();
  replies.clear();
  session.Send(aRequestId, aText);
  RunUntil([&] { return !replies.empty(); }, 3s);
  if (replies.empty())
    return { .isClosed = true, .rows = {}, .signature = {}, .error = {} };
  return replies.back();
}

Database&
World::Primary()
{
  Database* primary = databases.front().get();
  for (std::size_t i = 0; i < databases.size(); ++i) {
    if (databaseServices_[i] == kService && databases[i]->IsPrimary())
      primary = databases[i].get();
  }
  return *primary;
}

bool
World::HasNodeEnded()
{
  bool hasEnded = false;
  for (const auto& node : nodes)
    hasEnded = node->HasEnded() || hasEnded;
  return hasEnded;
}

} // namespace Review
