#include "World.h"

#include <utility>

namespace Review {

using namespace std::chrono_literals;

namespace {

constexpr int kMaxConnections = 34;
constexpr int kNodes = 3;
constexpr Core::Duration kAnswerDelay = 2ms;
constexpr Core::Duration kStartTime = 5s;
/** Long enough for the nodes to have settled. */
constexpr Core::Duration kCalmTime = 33s;

/** The bounds of the platform: config-apply-ms and stable-window-ms. */
constexpr Core::Duration kApplyTime = 3000ms;
constexpr Core::Duration kStableTime = 4000ms;

/** A margin over the bounds, for the load of the machine. */
constexpr Core::Duration kMargin = 1000ms;

/** How long the configuration is checked. */
constexpr Core::Duration kCheckTime = 15s;
constexpr Core::Duration kCheckPause = 500ms;

/** A database name whose route leads to the second service all the time. */
constexpr const char* kOtherHost = "archive";

/** Starts the nodes, each with a link to the store. */
std::vector<std::unique_ptr<Link>>
StartNodes(World& aWorld)
{
  std::vector<std::unique_ptr<Link>> links;
  for (int i = 1; i <= kNodes; ++i) {
    const std::string number = std::to_string(i);
    links.push_back(
      std::make_unique<Link>(aWorld.loop, aWorld.platform.OpenView()));
    const Wire::Address store = links.back()->ListenAddress();
    aWorld.StartNode(
      "front-" + number, "z" + number, PickNodeAddresses(), store, store);
  }
  return links;
}

/**
 * Reads and writes at each node on the route that has moved. Returns how many
 * requests the old service ran.
 */
int
CheckRoute(World& aWorld, int aRound)
{
  int broken = 0;
  for (const auto& node : aWorld.nodes) {
    const std::string id = node->Name() + '.' + std::to_string(aRound);
    const Reply read = aWorld.Query(*node, id + ".read", "FETCH season");
    const Reply write =
      aWorld.Query(*node, id + ".write", "STORE entry" + id + " lodged");
    const bool isReadOld =
      read.IsSuccess() && !read.rows.empty() && read.rows.front() == kService;
    const bool isWriteOld =
      write.IsSuccess() && aWorld.Primary().HasCommitted(id + ".write");
    broken += (isReadOld ? 1 : 0) + (isWriteOld ? 1 : 0);
    std::string line(node->Name());
    line.append(" answered a read with ").append(read.ToText()).append(" ");
    line.append(read.rows.empty() ? "no row" : read.rows.front());
    line.append(isReadOld ? " (THE OLD SERVICE)" : "");
    line.append(", a write with ").append(write.ToText());
    line.append(isWriteOld ? " (THE OLD SERVICE)" : "");
    aWorld.record.Add(line);
  }
  return broken;
}

} // namespace

Outcome
PlaySilentConnections(const Options& aOptions)
{
  World world(aOptions, kAnswerDelay);
  world.Configure(kMaxConnections,
                  1,
                  { { kRouteHost, kService }, { kOtherHost, kOtherService } });
  const auto links = StartNodes(world);
  if (!world.AwaitService())
    return Outcome::NotRun;
  world.RunFor(kStartTime);
  Node& first = *world.nodes.front();
  const std::string item = "STORE season ";
  const Reply old = world.Query(first, "w1", item + kService);
  const Reply fresh =
    world.Query(first, "w2", item + kOtherService, kOtherHost);
  if (!old.IsSuccess() || !fresh.IsSuccess())
    return Outcome::NotRun;
  world.RunFor(kCalmTime);
  if (aOptions.isTroubled) {
    world.record.Add("the open connections to the store go silent");
    for (const auto& link : links)
      link->SilenceOpenConnections();
  }
  world.RunFor(kStableTime + kMargin);
  world.Configure(
    kMaxConnections,
    2,
    { { kRouteHost, kOtherService }, { kOtherHost, kOtherService } });
  world.record.Add("the store acknowledges version 2: the route of " +
                   std::string(kRouteHost) + " leads to " + kOtherService);
  world.RunFor(kApplyTime + kMargin);
  int broken = 0;
  const Core::Instant end = world.loop.Now() + kCheckTime;
  for (int round = 1; world.loop.Now() < end; ++round) {
    broken += CheckRoute(world, round);
    world.RunFor(kCheckPause);
  }
  world.record.Add("requests run by the old service: " +
                   std::to_string(broken));
  if (world.HasNodeEnded())
    return Outcome::NotRun;
  return broken > 0 ? Outcome::Broken : Outcome::Held;
}

} // namespace Review
