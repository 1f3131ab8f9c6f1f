#define BOOST_TEST_MODULE VersionLedger
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <LibAuthority/StoreVersion.h>
#include <LibAuthority/VersionLedger.h>

#include <optional>
#include <ostream>
#include <vector>

using Authority::MakeStoreVersion;
using Authority::VersionLedger;
using namespace std::chrono_literals;

namespace {

constexpr Core::Instant kStart{ 100s };

/** The store is at this version when the node acquires the duty. */
constexpr std::uint64_t kFirst = 40;

enum class Source
{
  /** A row is received, or a write of this node succeeds. */
  Known,
  /** A response names the store's version. */
  Reached,
};

struct Event
{
  Core::Duration at;
  Source source;
  std::uint64_t version;
};

struct Case
{
  const char* name;
  std::vector<Event> events;
  /** When a change counts as missed; none: never. */
  std::optional<Core::Duration> missedAt;
};

std::ostream&
operator<<(std::ostream& aStream, const Case& aCase)
{
  return aStream << aCase.name;
}

const Case kCases[] = {
  { "nothing happens", {}, std::nullopt },
  { "own renewals only",
    { { 0ms, Source::Known, 41 },
      { 0ms, Source::Reached, 41 },
      { 500ms, Source::Known, 42 },
      { 500ms, Source::Reached, 42 } },
    std::nullopt },
  { "a write whose row doesn't come",
    { { 0ms, Source::Known, 42 }, { 0ms, Source::Reached, 42 } },
    750ms },
  { "a row that comes after the renewal",
    { { 0ms, Source::Known, 42 },
      { 0ms, Source::Reached, 42 },
      { 600ms, Source::Known, 41 },
      { 600ms, Source::Reached, 42 } },
    std::nullopt },
  { "a missing row behind one that comes late",
    { { 0ms, Source::Known, 43 },
      { 0ms, Source::Reached, 43 },
      { 600ms, Source::Known, 41 },
      { 600ms, Source::Reached, 43 } },
    1350ms },
  { "renewals go on while a row is missing",
    { { 0ms, Source::Known, 42 },
      { 0ms, Source::Reached, 42 },
      { 500ms, Source::Known, 43 },
      { 500ms, Source::Reached, 43 } },
    750ms },
  { "a response that was overtaken names an older version",
    { { 0ms, Source::Known, 41 },
      { 0ms, Source::Reached, 41 },
      { 10ms, Source::Reached, 39 } },
    std::nullopt },
  { "the store was restored and counts in a new era",
    { { 0ms, Source::Known, MakeStoreVersion(1, 20) },
      { 0ms, Source::Reached, MakeStoreVersion(1, 20) } },
    750ms },
};

/** Plays the events; returns when TakeMissed first returns true. */
std::optional<Core::Duration>
Play(VersionLedger& aLedger, const std::vector<Event>& aEvents)
{
  constexpr Core::Duration kTick = 50ms;
  for (Core::Duration at{ 0 }; at < 3s; at += kTick) {
    for (const Event& event : aEvents) {
      if (event.at < at || event.at >= at + kTick)
        continue;
      if (event.source == Source::Known)
        aLedger.RecordKnown(event.version);
      else
        aLedger.RecordReached(event.version, kStart + at);
    }
    if (aLedger.TakeMissed(kStart + at))
      return at;
  }
  return std::nullopt;
}

} // namespace

/**
 * Guards against a change that silent connections hide for as long as a poll
 * may wait, and against requests when none is hidden.
 */
BOOST_DATA_TEST_CASE(NoticesAMissingRow, boost::unit_test::data::make(kCases))
{
  VersionLedger ledger;
  ledger.RecordReached(kFirst, kStart);
  // The first check requests all changes, so that nothing before it is missed.
  BOOST_TEST(ledger.TakeMissed(kStart));
  BOOST_CHECK(Play(ledger, sample.events) == sample.missedAt);
}

/** What was missed is requested anew once, not on each tick. */
BOOST_AUTO_TEST_CASE(NoticesAMissingRowOnce)
{
  VersionLedger ledger;
  ledger.RecordReached(kFirst, kStart);
  ledger.TakeMissed(kStart);
  const std::vector<Event> events{ { 0ms, Source::Known, 42 },
                                   { 0ms, Source::Reached, 42 } };
  BOOST_CHECK(Play(ledger, events) == 750ms);
  BOOST_CHECK(Play(ledger, {}) == std::nullopt);
}

/** A node that takes the duty doesn't know what its connections hide. */
BOOST_AUTO_TEST_CASE(FirstCheckAfterAPauseRequestsAllChanges)
{
  VersionLedger ledger;
  BOOST_TEST(ledger.TakeMissed(kStart));
  BOOST_TEST(!ledger.TakeMissed(kStart));
  ledger.Pause();
  BOOST_TEST(ledger.TakeMissed(kStart));
}
