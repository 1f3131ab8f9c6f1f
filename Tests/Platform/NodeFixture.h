#pragma once

#include "NodeServer.h"
#include "SlowLink.h"
#include "StandInDatabases.h"
#include "StandInStore.h"

#include <LibWire/HttpClient.h>

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace StandIns {

using namespace std::chrono_literals;

/** Far longer than any step takes, so exceeding it is a failure. */
constexpr Core::Duration kTestTimeout = 20s;

/** By then a single node has taken over the failover duty of earlier ones. */
constexpr Core::Duration kDutyTimeout = 4s;

/** A client's session; collects the received lines. */
class Client final : public Wire::LineListener
{
public:
  Client(Core::Loop& aLoop, const Wire::Address& aAddress)
    : connection(
        std::make_unique<Wire::LineConnection>(aLoop, aAddress, 5s, *this))
  {
  }
  void OnLine(std::string_view aLine) override { lines.emplace_back(aLine); }
  void OnEnd(Wire::LineCloseReason) override { isEnded = true; }

  std::unique_ptr<Wire::LineConnection> connection;
  std::vector<std::string> lines;
  bool isEnded = false;
};

/** A store, a group of three databases, and two nodes, all in one process. */
class NodeFixture
{
public:
  NodeFixture()
    : store(loop)
  {
    storeAddress = store.Start();
    for (const std::string id : { "i-a", "i-b", "i-c" })
      AddDatabase(id);
    databases["i-a"]->isPrimary = true;
    databases["i-a"]->replicas = { databases["i-b"].get(),
                                   databases["i-c"].get() };
    store.OnPromote(
      [this](const std::string&, const std::string& aId) { Promote(aId); });
    Configure(1, "shop");
    // An invalid entry must not keep nodes from using the others.
    store.Put("servers", "strange", "\xff\xfe not json");
    nodes.push_back(StartNode("n1"));
    nodes.push_back(StartNode("n2"));
  }
  ~NodeFixture()
  {
    clients.clear();
    nodes.clear();
  }

  void AddDatabase(const std::string& aId)
  {
    auto database = std::make_unique<StandInDatabase>(loop, "g1", aId);
    addresses[aId] = database->Start().ToText();
    databases[aId] = std::move(database);
    List(aId, "ready");
  }

  /** Writes a database's entry into the store, as the database would. */
  void List(const std::string& aId, const std::string& aState)
  {
    store.Put("servers",
              aId,
              R"({"service":"g1","address":")" + addresses.at(aId) +
                R"(","zone":"z","slots":5,"state":")" + aState +
                R"(","born":1,"seq":1})");
  }

  void Promote(const std::string& aId)
  {
    StandInDatabase& next = *databases.at(aId);
    for (const auto& [id, database] : databases)
      next.term = std::max(next.term, database->term);
    ++next.term;
    next.isPrimary = true;
    next.replicas.clear();
    for (const auto& [id, database] : databases) {
      if (id != aId && !database->isPrimary)
        next.replicas.push_back(database.get());
    }
  }

  static std::string RouteTo(const std::string& aDatabase)
  {
    return R"({"name":"r1","host":")" + aDatabase +
           R"(","service":"g1","kind":"read_your_writes","timeout-ms":3000,
           "target-latency-ms":400,"max-staleness-ms":2500,"priority":1})";
  }

  /** aOtherRoutes is the number of routes beside the one to aDatabase. */
  void Configure(int aVersion,
                 const std::string& aDatabase,
                 int aOtherRoutes = 0)
  {
    std::string routes = RouteTo(aDatabase);
    for (int i = 0; i < aOtherRoutes; ++i)
      routes.append(",").append(RouteTo("other-" + std::to_string(i)));
    store.Put("op",
              "config",
              R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
                routes + R"(],"services":[{"name":"g1","max-conns":)" +
                std::to_string(maxConnections) + R"(,"sync-replicas":)" +
                std::to_string(syncReplicas) + R"(}],
           "limits":{"tx-idle-ms":60000})" +
                tenants + "}");
  }

  /**
   * Replaces the nodes by one that reaches the store over a slow link and holds
   * the failover duty, and one that reaches it directly.
   */
  void UseSlowLink(std::size_t aRate)
  {
    nodes.clear();
    const Wire::Address direct = storeAddress;
    link = std::make_unique<SlowLink>(loop, direct, aRate);
    storeAddress = link->ListenAddress();
    nodes.push_back(StartNode("slow"));
    ConnectUntilServed(0);
    const Core::Instant holdsDutyAt = loop.Now() + kDutyTimeout;
    RunUntil([&] { return loop.Now() > holdsDutyAt; });
    storeAddress = direct;
    nodes.push_back(StartNode("fast"));
    ConnectUntilServed(1);
  }

  /** Returns whether a session with aDatabase opens before aDeadline. */
  bool ServesBefore(std::size_t aNode,
                    const std::string& aDatabase,
                    Core::Instant aDeadline)
  {
    while (loop.Now() < aDeadline) {
      Client& client = Connect(aNode, aDatabase);
      BOOST_REQUIRE(
        RunUntil([&] { return !client.lines.empty() || client.isEnded; }));
      if (!client.lines.empty() && client.lines.front() == "READY I -")
        return true;
      const Core::Instant again = loop.Now() + 50ms;
      RunUntil([&] { return loop.Now() > again; });
    }
    return false;
  }

  std::unique_ptr<NodeServer> StartNode(const std::string& aName)
  {
    const std::string address = "127.0.0.1:0";
    const std::string text =
      "[node]\nname = " + aName + "\ndata_centre = " + dataCentre +
      "\n[listen]\nclients = " + address + "\nreadiness = " + address +
      "\nmetrics = " + address + "\npeers = " + address +
      "\nrelay = " + address +
      "\n[platform]\nstore = " + storeAddress.ToText() +
      "\npromotions = " + storeAddress.ToText() +
      "\n[authority]\nlease_ms = 3000\n" + otherSettings;
    Core::Findings findings;
    const auto settings = Settings::ProcessSettings::Parse(
      text, "test", findings, Settings::NodeSettingsTable());
    BOOST_REQUIRE_MESSAGE(settings, findings.ToText());
    auto node = std::make_unique<NodeServer>(loop, *settings);
    Core::LastReason reason;
    BOOST_REQUIRE_MESSAGE(node->Start(reason), reason.Text());
    return node;
  }

  /** Runs the loop until aIsDone; returns false after kTestTimeout. */
  bool RunUntil(const std::function<bool()>& aIsDone)
  {
    const Core::Instant end = loop.Now() + kTestTimeout;
    bool isDone = false;
    const auto check = loop.Every(5ms, [&] {
      isDone = aIsDone();
      if (isDone || loop.Now() > end)
        loop.Stop();
    });
    loop.Run();
    return isDone;
  }

  Client& Connect(std::size_t aNode,
                  const std::string& aDatabase = "shop",
                  const std::string& aKey = "me")
  {
    clients.push_back(
      std::make_unique<Client>(loop, nodes[aNode]->ClientAddress()));
    const std::string startup = "STARTUP " + aDatabase + ' ' + aKey;
    clients.back()->connection->Write(startup + "\r\n");
    return *clients.back();
  }

  /** Sends aText; returns the lines up to READY, joined by blanks. */
  std::string Query(Client& aClient, const std::string& aText)
  {
    aClient.lines.clear();
    aClient.connection->Write("QUERY q1 " + aText + "\r\n");
    BOOST_REQUIRE(RunUntil([&] {
      return aClient.isEnded || (!aClient.lines.empty() &&
                                 aClient.lines.back().starts_with("READY"));
    }));
    std::string joined;
    for (const std::string& line : aClient.lines)
      joined += (joined.empty() ? "" : " ") + line;
    return joined;
  }

  /** Repeats a write until it succeeds; returns false after aLimit. */
  bool WriteUntilServed(Client& aClient,
                        const std::string& aItem,
                        const std::string& aValue,
                        Core::Duration aLimit)
  {
    std::string statement = "STORE " + aItem;
    statement += ' ' + aValue;
    const Core::Instant end = loop.Now() + aLimit;
    while (loop.Now() < end) {
      if (Query(aClient, statement).starts_with("COMPLETE"))
        return true;
    }
    return false;
  }

  /** Connects until the node serves, and returns a session with one write. */
  Client& ConnectUntilServed(std::size_t aNode)
  {
    for (;;) {
      Client& client = Connect(aNode);
      BOOST_REQUIRE(
        RunUntil([&] { return !client.lines.empty() || client.isEnded; }));
      const bool isOpen = client.lines.front() == "READY I -";
      if (isOpen && Query(client, "STORE warm up").starts_with("COMPLETE"))
        return client;
    }
  }

  int ReadinessStatus(std::size_t aNode)
  {
    Wire::HttpClient http(loop, "test");
    int status = -1;
    Wire::HttpCall call;
    call.target = "/readyz";
    call.timeout = 2s;
    http.Call(nodes[aNode]->ReadinessAddress(),
              call,
              [&](const Wire::HttpOutcome& aOutcome) {
                status = aOutcome.answer.status;
              });
    RunUntil([&] { return status != -1; });
    return status;
  }

  /**
   * True once the node reports that it is ready. A node that starts accepts
   * sessions from its first configuration on, but is ready only with the rows
   * of the members and groups, which may arrive later.
   */
  bool IsReadyBefore(std::size_t aNode, Core::Instant aDeadline)
  {
    while (loop.Now() < aDeadline) {
      if (ReadinessStatus(aNode) == 200)
        return true;
      const Core::Instant again = loop.Now() + 50ms;
      RunUntil([&] { return loop.Now() > again; });
    }
    return false;
  }

  Core::Loop loop;
  int maxConnections = 34;
  /** Takes effect with the next configuration; databases don't wait for it. */
  int syncReplicas = 0;
  /** Further fields of configurations, after a comma. */
  std::string tenants;
  /** The data centre of nodes that start from now on. */
  std::string dataCentre = "z";
  /** Further sections of the settings of nodes that start from now on. */
  std::string otherSettings;
  StandInStore store;
  Wire::Address storeAddress;
  std::map<std::string, std::string> addresses;
  std::map<std::string, std::unique_ptr<StandInDatabase>> databases;
  std::unique_ptr<SlowLink> link;
  std::vector<std::unique_ptr<NodeServer>> nodes;
  std::vector<std::unique_ptr<Client>> clients;
};

} // namespace StandIns
