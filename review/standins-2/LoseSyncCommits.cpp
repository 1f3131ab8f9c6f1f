// A replica is being replaced (it is draining, and so counts for
// sync-replicas), the other one receives nothing for a while, and meanwhile the
// primary crashes, or is the next one to be replaced.

#include "World.h"

namespace Review {

namespace {

constexpr long long kWritesFrom = 5000;
constexpr long long kReleaseAt = 7000;
constexpr long long kDeafAt = 8500;
constexpr long long kCrashAt = 10500;
constexpr long long kEndAt = 21000;
constexpr Core::Duration kWriteInterval = std::chrono::milliseconds(40);

struct State
{
  std::vector<std::unique_ptr<Client>> clients;
  Core::TimerHandle timer;
  std::vector<std::string> acknowledged;
  std::vector<std::string> lost;
  bool hasPromoted = false;
  int failed = 0;
};

void
Write(World& aWorld, State& aState)
{
  for (const auto& client : aState.clients) {
    if (!client->IsReady())
      continue;
    const std::string id = aWorld.NextId();
    std::string text("STORE item ");
    text.append(id);
    aWorld.record.Add(std::string("sent ").append(id).append(" ").append(text));
    client->Send(id, text, [&aWorld, &aState, id](const Answer& aAnswer) {
      aWorld.record.Add("answered " + id + ' ' + aAnswer.result);
      if (aAnswer.IsSuccess())
        aState.acknowledged.push_back(id);
      else
        ++aState.failed;
    });
  }
}

} // namespace

void
LoseSyncCommits(World& aWorld, bool aCrashes)
{
  const auto state = std::make_shared<State>();
  aWorld.group.onCommit = [&aWorld](const Database& aDatabase,
                                    const Commit& aCommit) {
    aWorld.record.Add("run: " + aCommit.id + " commits at " + aDatabase.Id());
  };
  aWorld.group.onPromoted = [&aWorld, state](Database& aNew) {
    state->hasPromoted = true;
    for (const std::string& id : state->acknowledged)
      if (!aNew.Has(id))
        state->lost.push_back(id);
    for (const std::string& id : state->lost)
      aWorld.record.Add("acknowledged, not in the log of " + aNew.Id() + ": " +
                        id);
  };
  aWorld.At(kWritesFrom, [&aWorld, state] {
    for (const auto& node : aWorld.nodes)
      state->clients.push_back(
        std::make_unique<Client>(aWorld.loop, node->Clients(), "lodge"));
    state->timer = aWorld.loop.Every(
      kWriteInterval, [&aWorld, state] { Write(aWorld, *state); });
  });
  if (HasTrouble()) {
    aWorld.At(kReleaseAt, [&aWorld] {
      aWorld.record.Add("i-b reports draining; it goes on receiving");
      aWorld.PutEntry(*aWorld.group.Find("i-b"), "draining");
    });
    aWorld.At(kDeafAt, [&aWorld] {
      aWorld.record.Add("i-c receives nothing from now on");
      aWorld.group.Find("i-c")->isDeaf = true;
    });
    aWorld.At(kCrashAt, [&aWorld, aCrashes] {
      Database& primary = *aWorld.group.Find("i-a");
      if (aCrashes) {
        primary.Crash();
        return;
      }
      aWorld.record.Add("i-a reports draining; it goes on serving");
      aWorld.PutEntry(primary, "draining");
    });
  }
  aWorld.At(kEndAt, [&aWorld, state] {
    const std::string counts =
      std::to_string(state->acknowledged.size()) + " writes acknowledged, " +
      std::to_string(state->failed) + " not, " +
      std::to_string(state->lost.size()) +
      " acknowledged ones not in the log of the promoted database";
    if (state->acknowledged.empty() || state->hasPromoted != HasTrouble())
      aWorld.Done(2, counts);
    else
      aWorld.Done(state->lost.empty() ? 0 : 1, counts);
  });
}

} // namespace Review
