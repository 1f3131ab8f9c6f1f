#include "Cluster.h"

#include <algorithm>

namespace Crowds {

namespace {

/** Transactions that rest longer than this are rolled back by the node. */
constexpr int kTransactionIdleMilliseconds = 1000;

/** Reads of "large" and "huge" return as many rows; see Cluster. */
constexpr int kLargeRows = 10;
constexpr int kHugeRows = 180;

/** How often the stand-ins' thread looks whether it should end. */
constexpr Core::Duration kStopCheck = std::chrono::milliseconds(50);

} // namespace

Cluster::Cluster()
  : store_(loop_)
{
  storeAddress_ = store_.Start();
  for (const char* id : { "i-a", "i-b", "i-c" })
    AddDatabase(id);
  databases_[0]->isPrimary = true;
  databases_[0]->replicas = { databases_[1].get(), databases_[2].get() };
  store_.OnPromote(
    [this](const std::string&, const std::string& aId) { Promote(aId); });
  Configure();
  stopCheck_ = loop_.Every(kStopCheck, [this] {
    if (stops_)
      loop_.Stop();
  });
  thread_ = std::thread([this] { loop_.Run(); });
}

Cluster::~Cluster()
{
  stops_ = true;
  thread_.join();
}

void
Cluster::AddDatabase(const std::string& aId)
{
  auto database = std::make_unique<StandIns::StandInDatabase>(loop_, "g1", aId);
  database->keepsExecuted = false;
  database->rowsOfItem = { { "large", kLargeRows }, { "huge", kHugeRows } };
  const std::string address = database->Start().ToText();
  store_.Put("servers",
             aId,
             R"({"service":"g1","address":")" + address +
               R"(","zone":"z","slots":5,"state":"ready","born":1,"seq":1})");
  databases_.push_back(std::move(database));
}

void
Cluster::Promote(const std::string& aId)
{
  StandIns::StandInDatabase* next = nullptr;
  Session::Term term = 0;
  for (const auto& database : databases_) {
    term = std::max(term, database->term);
    if (database->Id() == aId)
      next = database.get();
  }
  if (next == nullptr)
    return;
  next->term = term + 1;
  next->isPrimary = true;
  next->replicas.clear();
  for (const auto& database : databases_) {
    if (database.get() == next)
      continue;
    database->isPrimary = false;
    next->replicas.push_back(database.get());
  }
}

void
Cluster::Configure()
{
  store_.Put("op",
             "config",
             R"({"version":1,"routes":[{"name":"r1","host":"shop",
               "service":"g1","kind":"read_your_writes","timeout-ms":3000,
               "target-latency-ms":400,"max-staleness-ms":2500,"priority":1}],
               "services":[{"name":"g1","max-conns":34}],
               "limits":{"tx-idle-ms":)" +
               std::to_string(kTransactionIdleMilliseconds) + "}}");
}

} // namespace Crowds
