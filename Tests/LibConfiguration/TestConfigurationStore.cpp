#define BOOST_TEST_MODULE ConfigurationStore
#include <LibConfiguration/ConfigurationStore.h>
#include <LibConfiguration/ConfigurationTracker.h>

#include <boost/test/unit_test.hpp>

using namespace Configuration;
using Platform::CommitOutcome;
using std::chrono::milliseconds;

namespace {

/** A table that responds at once, with faults on request. */
class FakeTable final : public Platform::TableService
{
public:
  /** The number of commits that take effect but end as Unknown. */
  int lostResponses = 0;
  bool isDown = false;
  std::map<std::string, Platform::TableRow> rows;
  /** Runs once, just before the next commit, such as a concurrent change. */
  std::function<void()> beforeCommit;

  void Read(const std::string& aKey, Platform::RowsCallback aCallback) override
  {
    if (isDown) {
      aCallback(std::nullopt);
      return;
    }
    const auto found = rows.find(aKey);
    aCallback(std::vector<Platform::TableRow>{
      found == rows.end() ? Platform::TableRow{ aKey, 0, {} }
                          : found->second });
  }
  void Scan(const std::string&,
            std::size_t,
            Platform::RowsCallback aCallback) override
  {
    aCallback(std::nullopt);
  }
  void Commit(const Platform::TableTransaction& aTransaction,
              Platform::CommitCallback aCallback) override
  {
    if (const auto concurrentChange = std::exchange(beforeCommit, nullptr))
      concurrentChange();
    if (isDown) {
      aCallback(CommitOutcome::Refused);
      return;
    }
    for (const auto& condition : aTransaction.conditions) {
      const auto found = rows.find(condition.key);
      if ((found == rows.end() ? 0 : found->second.version) !=
          condition.version) {
        aCallback(CommitOutcome::Conflict);
        return;
      }
    }
    for (const auto& put : aTransaction.puts) {
      Platform::TableRow& row = rows[put.key];
      row = { put.key, row.version + 1, put.value };
    }
    aCallback(lostResponses-- > 0 ? CommitOutcome::Unknown
                                  : CommitOutcome::Committed);
  }
};

struct Fixture
{
  FakeTable table;
  ConfigurationStore store{ table, [] { return 1LL; } };
  Fixture()
  {
    store.CreateInitialVersion("[queue]\nlongest = 10\n", [] {});
  }

  static ChangeOrder Order(const std::string& aId,
                           const std::string& aValue,
                           std::uint64_t aBasedOn)
  {
    ChangeOrder order;
    order.id = aId;
    order.basedOn = aBasedOn;
    order.reason = "a test";
    order.name = "queue.longest";
    order.value = aValue;
    return order;
  }
  ChangeResult Change(const ChangeOrder& aOrder)
  {
    ChangeResult result;
    store.Change(aOrder,
                 [&result](const ChangeResult& aResult) { result = aResult; });
    return result;
  }
  std::uint64_t CurrentVersion()
  {
    std::uint64_t version = 0;
    store.Load([&version](const auto& aCurrent) {
      version = aCurrent ? aCurrent->version : 0;
    });
    return version;
  }
  std::size_t AuditRecords() const
  {
    std::size_t count = 0;
    for (const auto& [key, row] : table.rows)
      count += key.starts_with("audit/") ? 1 : 0;
    return count;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ChangeCreatesVersionAndAuditRecord, Fixture)
{
  const ChangeResult result = Change(Order("c1", "20", 1));
  BOOST_CHECK(result.end == ChangeEnd::Accepted);
  BOOST_TEST(result.configuration.version == 2U);
  BOOST_TEST(CurrentVersion() == 2U);
  BOOST_TEST(AuditRecords() == 2U);
}

BOOST_FIXTURE_TEST_CASE(OneOfTwoConcurrentChangesGetsConflict, Fixture)
{
  ChangeResult concurrentChange;
  table.beforeCommit = [&] {
    concurrentChange = Change(Order("rival", "30", 1));
  };
  const ChangeResult result = Change(Order("c1", "20", 1));
  BOOST_CHECK(concurrentChange.end == ChangeEnd::Accepted);
  BOOST_CHECK(result.end == ChangeEnd::Conflict);
  BOOST_TEST(CurrentVersion() == 2U);
}

BOOST_FIXTURE_TEST_CASE(LostCommitResponseIsRecovered, Fixture)
{
  table.lostResponses = 1;
  const ChangeResult result = Change(Order("c1", "20", 1));
  BOOST_CHECK(result.end == ChangeEnd::Accepted);
  BOOST_TEST(result.configuration.version == 2U);
  BOOST_TEST(CurrentVersion() == 2U);
}

BOOST_FIXTURE_TEST_CASE(RepeatedOrderIsAppliedOnce, Fixture)
{
  Change(Order("c1", "20", 1));
  Change(Order("c2", "30", 2));
  const ChangeResult repeated = Change(Order("c1", "20", 1));
  BOOST_CHECK(repeated.end == ChangeEnd::Accepted);
  BOOST_TEST(repeated.configuration.version == 2U);
  BOOST_TEST(CurrentVersion() == 3U);
}

BOOST_FIXTURE_TEST_CASE(OutageIsReportedAsUnavailable, Fixture)
{
  table.isDown = true;
  BOOST_CHECK(Change(Order("c1", "20", 1)).end == ChangeEnd::Unavailable);
  table.isDown = false;
  BOOST_TEST(CurrentVersion() == 1U);
}

BOOST_FIXTURE_TEST_CASE(InvalidResultIsNotStored, Fixture)
{
  const ChangeResult result = Change(Order("c1", "many", 1));
  BOOST_CHECK(result.end == ChangeEnd::Invalid);
  BOOST_TEST(!result.findings.IsEmpty());
  BOOST_TEST(CurrentVersion() == 1U);
}

BOOST_AUTO_TEST_CASE(TrackerNeverTakesOlderVersion)
{
  ConfigurationTracker tracker;
  BOOST_TEST(tracker.Take({ 3, "new" }));
  BOOST_TEST(!tracker.Take({ 2, "old" }));
  BOOST_TEST(!tracker.Take({ 3, "other" }));
  BOOST_TEST(tracker.Held().text == "new");
}

BOOST_AUTO_TEST_CASE(ConfirmationExpiresAndRequiresLatestVersion)
{
  ConfigurationTracker tracker;
  const Core::Instant start{ milliseconds(1000) };
  const Core::Duration limit = milliseconds(4000);
  tracker.Take({ 3, "text" });
  BOOST_TEST(!tracker.IsCurrent(start, limit, false));
  // A later version elsewhere does not confirm this one.
  tracker.OnConfirmed(4, start);
  BOOST_TEST(!tracker.IsCurrent(start, limit, false));
  tracker.OnConfirmed(3, start);
  BOOST_TEST(tracker.IsCurrent(start + limit, limit, false));
  BOOST_TEST(!tracker.IsCurrent(start + limit + milliseconds(1), limit, false));
  BOOST_TEST(tracker.IsCurrent(start + limit * 10, limit, true));
}
