// The holder of the failover duty calls for a promote while its path to the
// platform's promote call is cut off, and freezes before the call has been
// given up. Another node takes the duty over and promotes. The first one wakes.

#include "World.h"

#include <boost/json.hpp>

#include <unistd.h>

#include <csignal>

namespace Review {

namespace {

constexpr long long kReplaceAt = 7000;
constexpr long long kEndAt = 22000;
/** Both are measured from the candidate's write to the store. */
constexpr Core::Duration kFreezeDelay = std::chrono::milliseconds(120);
constexpr Core::Duration kCutLength = std::chrono::milliseconds(900);
/** The site file's largest: node_freeze, for_s = 4.0. */
constexpr Core::Duration kFreezeLength = std::chrono::milliseconds(4000);

/** A new database starts at the address after this. */
constexpr Core::Duration kRestartDelay = std::chrono::milliseconds(100);

constexpr long long kTrafficFrom = 4000;
constexpr int kTrafficProcesses = 3;
constexpr int kMaxStateChecks = 200;
constexpr unsigned kStateCheckMicroseconds = 100;

struct State
{
  std::vector<std::unique_ptr<Traffic>> traffic;
  bool hasFrozen = false;
  std::string frozen;
  Core::TimerHandle freeze;
  Core::TimerHandle heal;
  Core::TimerHandle wake;
  Core::TimerHandle restart;
};

bool
NamesCandidate(const std::string& aValue)
{
  boost::system::error_code error;
  const auto value = boost::json::parse(aValue, error);
  if (error || !value.is_object())
    return false;
  const auto* candidate = value.as_object().if_contains("candidate");
  return candidate != nullptr && candidate->is_string() &&
         !candidate->as_string().empty();
}

} // namespace

void
PromoteWithOldToken(World& aWorld)
{
  const auto state = std::make_shared<State>();
  aWorld.store.OnWrite(
    [&aWorld, state](const std::string& aKey, const std::string& aValue) {
      if (aKey == "lease/failover") {
        const auto value = boost::json::parse(aValue);
        const std::string now(value.at("holder").as_string());
        if (now != aWorld.holder)
          aWorld.record.Add("the store's lease row names " + now);
        aWorld.holder = now;
        return;
      }
      if (!HasTrouble() || state->hasFrozen || aKey != "group/g1" ||
          !NamesCandidate(aValue))
        return;
      state->hasFrozen = true;
      Node* node = aWorld.Holder();
      state->frozen = node->Name();
      aWorld.record.Add("the record names the candidate; the promote call's "
                        "address is cut off");
      aWorld.cloud.CutOff();
      state->freeze = aWorld.loop.After(kFreezeDelay, [&aWorld, node, state] {
        // SIGCONT would end an epoll_wait() with EINTR, which the freeze of a
        // machine doesn't.
        for (int i = 0; i < kMaxStateChecks && !node->IsOnProcessor(); ++i)
          usleep(kStateCheckMicroseconds);
        aWorld.record.Add(node->Name() + " freezes");
        node->Signal(SIGSTOP);
        state->wake = aWorld.loop.After(kFreezeLength, [&aWorld, node] {
          aWorld.record.Add(node->Name() + " wakes");
          node->Signal(SIGCONT);
        });
      });
      state->heal = aWorld.loop.After(kCutLength, [&aWorld] {
        aWorld.record.Add("the promote call's address can be reached again");
        aWorld.cloud.Heal();
      });
    });
  aWorld.At(kTrafficFrom, [&aWorld, state] {
    // Keeps the holder busy, as a machine with little processor time is.
    for (int i = 0; i < kTrafficProcesses; ++i)
      if (const Node* node = aWorld.Holder())
        state->traffic.push_back(std::make_unique<Traffic>(node->Clients()));
  });
  aWorld.At(kReplaceAt, [&aWorld, state] {
    // The primary is replaced: it ends, and a new database at its address gets
    // its log.
    Database* old = aWorld.group.Find("i-a");
    old->Crash();
    aWorld.store.Remove("servers", "i-a");
    state->restart = aWorld.loop.After(kRestartDelay, [&aWorld, old] {
      Database& next = aWorld.group.Add("i-d");
      next.TakeLog(*old);
      next.Listen(old->Address());
      aWorld.PutEntry(next, "ready");
      aWorld.record.Add("i-d starts at the address of i-a, with its log");
    });
  });
  aWorld.At(kEndAt, [&aWorld, state] {
    state->traffic.clear();
    std::uint64_t newest = 0;
    std::string fault;
    for (const PromoteCall& call : aWorld.promotes) {
      if (call.token < newest)
        fault = "promote call of " + call.holder + " with token " +
                std::to_string(call.token) + " after token " +
                std::to_string(newest) + " had been seen";
      newest = std::max(newest, call.token);
    }
    if (aWorld.promotes.empty() || state->hasFrozen != HasTrouble())
      aWorld.Done(2, "no promote call came");
    else if (!fault.empty())
      aWorld.Done(1, fault);
    else
      aWorld.Done(0,
                  std::to_string(aWorld.promotes.size()) +
                    " promote calls, tokens never decreased");
  });
}

} // namespace Review
