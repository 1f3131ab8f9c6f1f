#define BOOST_TEST_MODULE RowFollower
#include <boost/test/unit_test.hpp>

#include "../Simulation/VirtualTime.h"

#include <LibAuthority/RowFollower.h>

#include <map>

using namespace std::chrono_literals;
using Authority::FollowedRows;
using Authority::StoredRow;
using Authority::StoreRows;
using Authority::StoreStatus;

namespace {

constexpr Core::Duration kOneWay = 2ms;
constexpr Authority::FollowTiming kTiming{ 2s, 12s, 100ms };

/** A store with one table, and one process that follows it. */
class Fixture : public Authority::ChangeFeed
{
public:
  Fixture()
    : follower(
        time,
        *this,
        "t",
        kTiming,
        Core::Random(1),
        [this] { return hearsOthers; },
        [this](const FollowedRows& aRows) { OnRows(aRows); },
        [this](std::string_view aWhat, std::string_view, StoreStatus) {
          logged.emplace_back(aWhat);
        })
  {
  }
  ~Fixture() override { time.Close(); }

  void Pass(Core::Duration aTime) { time.RunUntil(time.Now() + aTime); }

  void Put(const std::string& aKey)
  {
    rows[aKey] = { aKey, "value", ++version };
    const auto waiting = std::exchange(waiting_, {});
    for (const auto& task : waiting)
      task();
  }

  void OnRows(const FollowedRows& aRows)
  {
    ++answers;
    wholes += aRows.isSnapshot ? 1 : 0;
    for (const StoredRow& row : aRows.rows)
      known[row.key] = row.version;
    newestQuestion = aRows.requestedAt;
  }

  void ReadRows(const std::string&,
                const std::string& aFrom,
                RowsHandler aDone) override
  {
    ++calls;
    time.DeferFor(2 * kOneWay, [this, aFrom, aDone] {
      StoreRows answer{
        refusal.value_or(StoreStatus::Done), {}, version, false
      };
      for (const auto& [key, row] : rows) {
        if (key < aFrom)
          continue;
        if (answer.rows.size() == pageSize) {
          answer.hasMore = true;
          break;
        }
        answer.rows.push_back(row);
      }
      aDone(answer);
    });
  }

  void AwaitChanges(const std::string&,
                    std::uint64_t aAfter,
                    Core::Duration aWait,
                    RowsHandler aDone) override
  {
    ++calls;
    lastWait = aWait;
    if (isSilent)
      return;
    const auto isDone = std::make_shared<bool>(false);
    const auto answer = [this, aAfter, aDone, isDone] {
      if (std::exchange(*isDone, true))
        return;
      time.DeferFor(kOneWay, [this, aAfter, aDone] {
        StoreRows result{
          refusal.value_or(StoreStatus::Done), {}, version, false
        };
        for (const auto& [key, row] : rows) {
          if (row.version > aAfter)
            result.rows.push_back(row);
        }
        aDone(result);
      });
    };
    if (version > aAfter || refusal)
      time.DeferFor(kOneWay, answer);
    else
      waiting_.push_back(answer);
    time.DeferFor(kOneWay + aWait, answer);
  }

  Simulation::VirtualTime time;
  std::map<std::string, StoredRow> rows;
  std::uint64_t version = 0;
  std::size_t pageSize = 100;
  bool hearsOthers = false;
  /** Questions for changes are never answered. */
  bool isSilent = false;
  std::optional<StoreStatus> refusal;
  int calls = 0;
  int answers = 0;
  int wholes = 0;
  Core::Duration lastWait{ 0 };
  Core::Instant newestQuestion{};
  std::map<std::string, std::uint64_t> known;
  std::vector<std::string> logged;
  Authority::RowFollower follower;

private:
  std::vector<std::function<void()>> waiting_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Following, Fixture)

BOOST_AUTO_TEST_CASE(ReadsAllPagesFirst)
{
  pageSize = 2;
  for (const char* key : { "a", "b", "c", "d", "e" })
    Put(key);
  follower.Start();
  Pass(100ms);
  BOOST_TEST(known.size() == 5U);
  BOOST_TEST(wholes == 1);
  BOOST_TEST(follower.NewestRow() == 5U);
}

BOOST_AUTO_TEST_CASE(HearsOfAChangeAtOnce)
{
  follower.Start();
  Pass(1s);
  Put("a");
  Pass(10ms);
  BOOST_TEST(known.contains("a"));
}

/** A start of a whole fleet: rows of all its members within 300 ms. */
BOOST_AUTO_TEST_CASE(ABurstOfChangesTakesFewQuestions)
{
  follower.Start();
  Pass(1s);
  const int before = calls;
  for (int i = 0; i < 60; ++i) {
    Put("m" + std::to_string(i));
    Pass(5ms);
  }
  Pass(200ms);
  BOOST_TEST(known.size() == 60U);
  BOOST_TEST(calls - before <= 5);
}

BOOST_AUTO_TEST_CASE(AsksOftenWhileNobodyElseIsHeard)
{
  follower.Start();
  Pass(24s);
  BOOST_TEST(calls >= 12);
  // An answer is as old as its question, and the next one takes as long.
  BOOST_TEST((time.Now() - newestQuestion < 2 * kTiming.shortWait + 100ms));
}

BOOST_AUTO_TEST_CASE(AsksSeldomWhileOthersAreHeard)
{
  hearsOthers = true;
  follower.Start();
  Pass(24s);
  BOOST_TEST(calls <= 4);
}

BOOST_AUTO_TEST_CASE(AsksAgainSoonWhenOthersFallSilent)
{
  hearsOthers = true;
  follower.Start();
  Pass(5s);
  hearsOthers = false;
  Pass(300ms);
  BOOST_TEST((lastWait == kTiming.shortWait));
}

BOOST_AUTO_TEST_CASE(ASilentConnectionIsNoticedByWhatOthersHaveSeen)
{
  hearsOthers = true;
  follower.Start();
  Pass(100ms);
  isSilent = true;
  follower.Refresh();
  Pass(3s);
  isSilent = false;
  Put("a");
  Pass(1s);
  BOOST_TEST(!known.contains("a"));
  follower.OnSeenElsewhere(version);
  Pass(50ms);
  BOOST_TEST(known.contains("a"));
}

BOOST_AUTO_TEST_CASE(WhatIsKnownCausesNoQuestion)
{
  hearsOthers = true;
  Put("a");
  follower.Start();
  Pass(2s);
  const int before = calls;
  follower.OnSeenElsewhere(version);
  Pass(10ms);
  BOOST_TEST(calls == before);
}

BOOST_AUTO_TEST_CASE(ForgottenHistoryIsReadWhole)
{
  follower.Start();
  Pass(100ms);
  refusal = StoreStatus::HistoryGone;
  follower.Refresh();
  Pass(4ms);
  refusal.reset();
  Pass(100ms);
  BOOST_TEST(wholes >= 2);
  BOOST_TEST(logged.front() == "store_history_gone");
}

BOOST_AUTO_TEST_CASE(ARefusalIsRepeatedWithRestraint)
{
  follower.Start();
  Pass(100ms);
  refusal = StoreStatus::Refused;
  follower.Refresh();
  Pass(10s);
  const int during = calls;
  BOOST_TEST(during < 50);
  refusal.reset();
  Put("a");
  Pass(700ms);
  BOOST_TEST(known.contains("a"));
  BOOST_TEST(logged.front() == "store_lost");
  BOOST_TEST(logged.back() == "store_regained");
}

BOOST_AUTO_TEST_CASE(ARefreshAnswersAtOnce)
{
  hearsOthers = true;
  follower.Start();
  Pass(5s);
  const Core::Instant before = time.Now();
  follower.Refresh();
  Pass(50ms);
  BOOST_TEST((newestQuestion >= before));
}

BOOST_AUTO_TEST_SUITE_END()
