#include "World.h"

#include <map>
#include <utility>

namespace Review {

using namespace std::chrono_literals;

namespace {

constexpr int kMaxConnections = 34;
constexpr int kReaders = 7;
constexpr int kWriters = 10;
constexpr Core::Duration kAnswerDelay = 5ms;

/** The cuts of the first node. The site's list allows 12 s. */
constexpr int kCuts = 3;
constexpr Core::Duration kMinCutTime = 7s;
constexpr Core::Duration kMaxCutTime = 10s;
constexpr Core::Duration kCalmTime = 3s;
/** Reads that aren't answered for this long have stalled. */
constexpr Core::Duration kStallTime = 120ms;
/** By then all writers wait for the node to serve them. */
constexpr Core::Duration kWritersTime = 100ms;
constexpr Core::Duration kWritingTime = 3s;

/** Three nodes, and the links that separate the first one from the rest. */
class CutDeployment
{
public:
  explicit CutDeployment(World& aWorld)
    : world_(aWorld)
  {
    world_.Configure(kMaxConnections);
    for (int i = 0; i < 3; ++i) {
      addresses_.push_back(PickNodeAddresses());
      stores_.push_back(world_.platform.OpenView());
    }
    const Wire::Address store = AddLink(stores_[0]);
    ShowThroughLinks(0, { 1, 2 });
    ShowThroughLinks(1, { 0 });
    ShowThroughLinks(2, { 0 });
    Start(0, store);
    Start(1, stores_[1]);
    Start(2, stores_[2]);
  }

  void SetCut(bool aIsCut)
  {
    world_.record.Add(aIsCut ? "front-1 is cut off" : "the cut has healed");
    for (const auto& link : links_)
      link->SetCut(aIsCut);
  }

private:
  void Start(std::size_t aIndex, const Wire::Address& aStore)
  {
    const std::string number = std::to_string(aIndex + 1);
    world_.StartNode(
      "front-" + number, "z" + number, addresses_[aIndex], aStore, aStore);
  }

  Wire::Address AddLink(const Wire::Address& aTarget)
  {
    links_.push_back(std::make_unique<Link>(world_.loop, aTarget));
    return links_.back()->ListenAddress();
  }

  /** Lets a node see the addresses of others as those of links. */
  void ShowThroughLinks(std::size_t aViewer,
                        const std::vector<std::size_t>& aOthers)
  {
    const auto quote = [](const Wire::Address& aAddress) {
      return '"' + aAddress.ToText() + '"';
    };
    Translation translation;
    for (const std::size_t other : aOthers) {
      const NodeAddresses& shown = addresses_[other];
      for (const Wire::Address& real :
           { shown.peers, shown.checkouts, shown.relay })
        translation.emplace_back(quote(real), quote(AddLink(real)));
    }
    world_.platform.SetTranslation(aViewer, std::move(translation));
  }

  World& world_;
  std::vector<NodeAddresses> addresses_;
  std::vector<Wire::Address> stores_;
  std::vector<std::unique_ptr<Link>> links_;
};

/** The clients of the first node. */
class Load
{
public:
  explicit Load(World& aWorld)
    : world_(aWorld)
  {
    for (int i = 0; i < kWriters; ++i)
      writers_.push_back(std::make_unique<StatementClient>(
        world_.loop,
        "write" + std::to_string(i),
        Node(),
        kRouteHost,
        30ms,
        [this] { return isWriting ? NextWrite() : std::string(); },
        [this](const std::string& aId,
               const std::string& aText,
               const Reply& aReply) { OnWritten(aId, aText, aReply); }));
  }

  void StartReaders()
  {
    for (int i = 0; i < kReaders; ++i)
      readers_.push_back(std::make_unique<StatementClient>(
        world_.loop,
        "read" + std::to_string(i),
        Node(),
        kRouteHost,
        0ms,
        [] { return "FETCH opening"; },
        [this](const auto&, const auto&, const Reply& aReply) {
          ++(aReply.IsSuccess() ? readsServed : readsFailed);
          if (aReply.IsSuccess())
            servedAt = world_.loop.Now();
        }));
  }
  /** Readers that still wait for an answer give up and disconnect. */
  void StopReaders() { readers_.clear(); }

  bool isWriting = false;
  int readsServed = 0;
  int readsFailed = 0;
  /** When the last read was served. */
  Core::Instant servedAt{};
  /** The item of each acknowledged write, by request id. */
  std::map<std::string, std::string> acknowledged;

private:
  Wire::Address Node() const
  {
    return world_.nodes.front()->Addresses().clients;
  }

  std::string NextWrite()
  {
    return "STORE entry" + std::to_string(++writes_) + " lodged";
  }

  void OnWritten(const std::string& aId,
                 const std::string& aText,
                 const Reply& aReply)
  {
    world_.record.Add("front-1 answered " + aId + " (" + aText +
                      "): " + aReply.ToText());
    if (!aReply.IsSuccess())
      return;
    const std::size_t begin = aText.find(' ') + 1;
    acknowledged[aId] = aText.substr(begin, aText.find(' ', begin) - begin);
  }

  World& world_;
  int writes_ = 0;
  std::vector<std::unique_ptr<StatementClient>> readers_;
  std::vector<std::unique_ptr<StatementClient>> writers_;
};

/** Reads each lost write's item at another node; returns their number. */
int
CountLost(World& aWorld, const Load& aLoad)
{
  int lost = 0;
  for (const auto& [id, item] : aLoad.acknowledged) {
    if (aWorld.Primary().HasCommitted(id))
      continue;
    const Reply reply =
      aWorld.Query(*aWorld.nodes[1], "check." + id, "FETCH " + item);
    std::string line("LOST: ");
    line.append(id).append(
      " was acknowledged, but isn't in the primary's log; ");
    line.append("front-2 read ").append(item).append(" later: ");
    line.append(reply.rows.empty() ? "no row" : reply.rows.front());
    aWorld.record.Add(line.append(", ").append(reply.ToText()));
    ++lost;
  }
  return lost;
}

} // namespace

Outcome
PlayPooledTransaction(const Options& aOptions)
{
  World world(aOptions, kAnswerDelay);
  for (const auto& database : world.databases)
    database->OnRun([&world](const RunStatement& aRun) {
      const bool isWrite = aRun.text.starts_with("STORE");
      if (isWrite)
        world.record.Add(aRun.database + " ran " + aRun.requestId +
                         " on connection " + std::to_string(aRun.connection) +
                         (aRun.isInTransaction ? " INSIDE A TRANSACTION" : ""));
    });
  CutDeployment deployment(world);
  if (!world.AwaitService())
    return Outcome::NotRun;
  Load load(world);
  for (int i = 0; i < kCuts; ++i) {
    load.isWriting = false;
    load.StartReaders();
    world.RunFor(kCalmTime);
    if (aOptions.isTroubled)
      deployment.SetCut(true);
    // The cut heals when the node has stopped to serve reads.
    world.RunFor(kMinCutTime);
    world.RunUntil(
      [&] { return world.loop.Now() - load.servedAt > kStallTime; },
      kMaxCutTime - kMinCutTime);
    load.StopReaders();
    load.isWriting = true;
    world.RunFor(kWritersTime);
    if (aOptions.isTroubled)
      deployment.SetCut(false);
    world.RunFor(kWritingTime);
  }
  load.isWriting = false;
  world.RunFor(1s);
  if (world.HasNodeEnded())
    return Outcome::NotRun;
  const int lost = CountLost(world, load);
  world.record.Add("reads served " + std::to_string(load.readsServed) +
                   ", failed " + std::to_string(load.readsFailed) +
                   "; writes acknowledged " +
                   std::to_string(load.acknowledged.size()) + ", lost " +
                   std::to_string(lost));
  if (load.acknowledged.empty())
    return Outcome::NotRun;
  return lost > 0 ? Outcome::Broken : Outcome::Held;
}

} // namespace Review
