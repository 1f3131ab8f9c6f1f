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
  AddDatabases(aDelay);
  platform.OnPromote([this](const std::string&, const std::string& aId) {
    record.Add("promote " + aId);
    loop.DeferFor(kPromotionTime, [this, aId] {
      std::vector<Database*> all;
      for (const auto& database : databases)
        all.push_back(database.get());
      for (std::size_t i = 0; i < databases.size(); ++i) {
        if (databaseIds_[i] == aId && !databases[i]->IsPrimary())
          databases[i]->Promote(all);
      }
    });
  });
  beat_ = loop.Every(kHeartbeat, [this] { WriteDatabaseRows(); });
}

World::~World()
{
  nodes.clear();
}

void
World::AddDatabases(Core::Duration aDelay)
{
  for (const std::string id : { "i-1", "i-2", "i-3" }) {
    databases.push_back(std::make_unique<Database>(loop, kService, id, aDelay));
    databaseIds_.push_back(id);
    databaseAddresses_.push_back(databases.back()->Start());
  }
  databases[0]->Lead();
  databases[0]->SetReplicas({ databases[1].get(), databases[2].get() });
  WriteDatabaseRows();
}

void
World::WriteDatabaseRows()
{
  ++beats_;
  for (std::size_t i = 0; i < databases.size(); ++i) {
    const boost::json::object row{
      { "service", kService },
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
World::Configure(int aMaxConnections)
{
  const boost::json::object route{
    { "name", "r1" },          { "host", kRouteHost },
    { "service", kService },   { "kind", "leader" },
    { "timeout-ms", 1000 },    { "target-latency-ms", 200 },
    { "max-staleness-ms", 0 }, { "priority", 1 }
  };
  const boost::json::object service{ { "name", kService },
                                     { "max-conns", aMaxConnections } };
  const boost::json::object configuration{
    { "version", 1 },
    { "routes", boost::json::array{ route } },
    { "services", boost::json::array{ service } },
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
             const std::string& aText)
{
  std::vector<Reply> replies;
  ClientSession session(
    loop,
    aNode.Addresses().clients,
    kRouteHost,
    [&replies](const Reply& aReply) { replies.push_back(aReply); });
  RunUntil([&] { return !replies.empty(); }, 3s);
  if (replies.empty() || !replies.back().IsSuccess())
    return { .isClosed = true, .rows = {}, .signature = {}, .error = {} };
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
  for (const auto& database : databases) {
    if (database->IsPrimary())
      primary = database.get();
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
