#define BOOST_TEST_MODULE LostRecordWrites
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "SupervisorFixture.h"

#include <ostream>
#include <set>

using namespace std::chrono_literals;

namespace {

/** What becomes of a write whose response doesn't arrive as it should. */
enum class Fate
{
  DoneResponseLost,
  NotDone,
  DoneLate,
  /** Another node has written the same record before. */
  Overtaken,
  /** It was repeated, and met its own success. */
  DoneThenConflict,
};

struct FateCase
{
  const char* name;
  Fate fate;
};

std::ostream&
operator<<(std::ostream& aStream, const FateCase& aCase)
{
  return aStream << aCase.name;
}

const FateCase kFates[] = {
  { "done, response lost", Fate::DoneResponseLost },
  { "not done", Fate::NotDone },
  { "done late", Fate::DoneLate },
  { "overtaken", Fate::Overtaken },
  { "done, then a conflict with itself", Fate::DoneThenConflict },
};

/** The time until a write without a response counts as unknown. */
constexpr Core::Duration kResponseTimeout = 400ms;
constexpr Core::Duration kFeedInterval = 100ms;
/** Fencing, the survey and a promotion, and each once more. */
constexpr Core::Duration kChangeTime = 20s;

/** The writes of a group's records, one of which meets a fate. */
class Fixture : public Fakes::SupervisorFixture
{
public:
  Fixture()
    : feed(time.Every(kFeedInterval, [this] { ShowStored(); }))
  {
  }

  void WriteRecord(const Authority::GroupRecord& aRecord,
                   std::function<void(Authority::WriteOutcome)> aDone) override
  {
    if (++writes != fatefulWrite) {
      SupervisorFixture::WriteRecord(aRecord, std::move(aDone));
      return;
    }
    const auto ignore = [](const Authority::WriteOutcome&) {};
    switch (fate) {
      case Fate::DoneResponseLost:
        SupervisorFixture::WriteRecord(aRecord, ignore);
        break;
      case Fate::NotDone:
        break;
      case Fate::DoneLate:
        time.DeferFor(kResponseTimeout + 150ms, [this, aRecord, ignore] {
          SupervisorFixture::WriteRecord(aRecord, ignore);
        });
        break;
      case Fate::Overtaken:
        if (stored)
          stored->version = ++version;
        SupervisorFixture::WriteRecord(aRecord, std::move(aDone));
        return;
      case Fate::DoneThenConflict:
        SupervisorFixture::WriteRecord(aRecord, ignore);
        Reply(aDone, { Authority::WriteResult::Conflict, 0 });
        return;
    }
    time.DeferFor(kResponseTimeout, [aDone] {
      aDone({ Authority::WriteResult::Unknown, 0 });
    });
  }

  /** The feed of the store's rows shows the record. */
  void ShowStored()
  {
    if (!stored || stored->version == shown)
      return;
    shown = stored->version;
    supervisor.SetRecord(stored);
  }

  /** The databases that lead the newest term. */
  std::set<std::string> Leaders() const
  {
    Session::Term newest = 0;
    for (const auto& [id, member] : members)
      newest = std::max(newest, member.status.term);
    std::set<std::string> leaders;
    for (const auto& [id, member] : members) {
      if (member.status.isPrimary && member.status.term == newest)
        leaders.insert(id);
    }
    return leaders;
  }

  /** The number of the write that meets the fate; the first is 1. */
  int fatefulWrite = 0;
  Fate fate = Fate::NotDone;
  int writes = 0;
  std::uint64_t shown = 0;
  Core::TimerHandle feed;
};

/** The first record, and the three of a change of primary. */
constexpr int kWrites = 4;

} // namespace

/**
 * Guards against a change of primary that never ends, or promotes two
 * databases, because the response to a write of the group's record was lost.
 */
BOOST_DATA_TEST_CASE_F(Fixture,
                       AChangeEndsAlthoughAResponseIsLost,
                       boost::unit_test::data::make(kFates) *
                         boost::unit_test::data::xrange(1, kWrites + 1),
                       lost,
                       number)
{
  fate = lost.fate;
  fatefulWrite = number;
  AdvanceBy(2s);
  BOOST_REQUIRE(stored.has_value());
  BOOST_TEST(stored->primary == "a");
  members["a"].isReachable = false;
  AdvanceBy(kChangeTime);
  BOOST_TEST(writes >= kWrites);
  BOOST_TEST(stored->primary != "a");
  BOOST_TEST(!stored->change.has_value());
  BOOST_TEST(Leaders() == std::set<std::string>{ stored->primary },
             boost::test_tools::per_element());
  const std::set<std::string> all(promoted.begin(), promoted.end());
  BOOST_TEST(all.size() == 1U);
}
