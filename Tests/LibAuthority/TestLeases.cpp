#define BOOST_TEST_MODULE Leases
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <LibAuthority/DutyLease.h>
#include <LibAuthority/PrimaryAuthority.h>
#include <LibAuthority/SampleHistory.h>

namespace data = boost::unit_test::data;
using namespace std::chrono_literals;
using Authority::DutyLease;
using Authority::GroupRecord;
using Authority::WriteResult;
using Core::Instant;

namespace {

constexpr Authority::DutyLeaseTiming kTiming{ 2000ms, 250ms, 500ms };
const Instant kStart{ 10s };

GroupRecord
RecordOf(Session::Term aTerm, std::uint64_t aVersion)
{
  GroupRecord record;
  record.group = "g";
  record.term = aTerm;
  record.primary = "db" + std::to_string(aTerm);
  record.version = aVersion;
  return record;
}

DutyLease
HeldLease()
{
  DutyLease lease("lease/x", "me", kTiming);
  lease.Observe({ "lease/x", "", 0 }, kStart);
  BOOST_REQUIRE(lease.NextWrite(kStart).has_value());
  lease.OnWritten({ WriteResult::Applied, 5 }, kStart);
  return lease;
}

struct ClampCase
{
  Session::LogPosition position;
  std::vector<Authority::TermStart> starts;
  Session::LogPosition expected;
};

std::ostream&
operator<<(std::ostream& aStream, const ClampCase& aCase)
{
  return aStream << aCase.position.ToText();
}

const ClampCase kClamps[] = {
  { { 3, 1209 }, {}, { 3, 1209 } },
  { { 3, 1209 }, { { 4, 1205 } }, { 3, 1205 } },
  { { 3, 1200 }, { { 4, 1205 } }, { 3, 1200 } },
  // A term's start does not limit positions of the same term.
  { { 4, 1209 }, { { 4, 1205 } }, { 4, 1209 } },
  { { 3, 1209 }, { { 4, 1205 }, { 5, 1201 } }, { 3, 1201 } },
};

} // namespace

BOOST_AUTO_TEST_CASE(WritesNothingBeforeTheRowWasRead)
{
  DutyLease lease("lease/x", "me", kTiming);
  BOOST_TEST(!lease.NextWrite(kStart).has_value());
  BOOST_TEST(!lease.Holds(kStart));
}

BOOST_AUTO_TEST_CASE(LeaseEndsEarlyByTheSafetyMargin)
{
  const DutyLease lease = HeldLease();
  BOOST_TEST(lease.Token() == 5U);
  BOOST_TEST(lease.Holds(kStart + 1700ms));
  BOOST_TEST(!lease.Holds(kStart + 1750ms));
  BOOST_TEST(!lease.HoldsFor(kStart + 1000ms, 900ms));
}

BOOST_AUTO_TEST_CASE(RenewalKeepsTheFencingToken)
{
  DutyLease lease = HeldLease();
  BOOST_TEST(!lease.NextWrite(kStart + 400ms).has_value());
  const auto row = lease.NextWrite(kStart + 500ms);
  BOOST_REQUIRE(row.has_value());
  BOOST_TEST(row->version == 5U);
  lease.OnWritten({ WriteResult::Applied, 9 }, kStart + 500ms);
  BOOST_TEST(lease.Token() == 5U);
  BOOST_TEST(lease.Holds(kStart + 2200ms));
}

BOOST_AUTO_TEST_CASE(RenewalWithoutReplyDoesNotExtendTheLease)
{
  DutyLease lease = HeldLease();
  lease.NextWrite(kStart + 500ms);
  lease.OnWritten({ WriteResult::Unknown, 0 }, kStart + 500ms);
  BOOST_TEST(!lease.Holds(kStart + 1750ms));
}

BOOST_AUTO_TEST_CASE(TakesOverARowUnchangedForTheLeaseDuration)
{
  DutyLease lease("lease/x", "me", kTiming);
  lease.Observe({ "lease/x", "other", 7 }, kStart);
  lease.Observe({ "lease/x", "other", 7 }, kStart + 1900ms);
  BOOST_TEST(!lease.NextWrite(kStart + 1900ms).has_value());
  const auto row = lease.NextWrite(kStart + 2001ms);
  BOOST_REQUIRE(row.has_value());
  BOOST_TEST(row->version == 7U);
  // The other holder has renewed the lease: the row must be read again first.
  lease.OnWritten({ WriteResult::Conflict, 0 }, kStart + 2001ms);
  BOOST_TEST(!lease.NextWrite(kStart + 9000ms).has_value());
  lease.Observe({ "lease/x", "other", 8 }, kStart + 9000ms);
  BOOST_TEST(!lease.NextWrite(kStart + 9001ms).has_value());
  BOOST_TEST(lease.Token() == 0U);
}

BOOST_AUTO_TEST_CASE(LosesTheLeaseToAnotherHolder)
{
  DutyLease lease = HeldLease();
  lease.Observe({ "lease/x", "other", 8 }, kStart + 100ms);
  BOOST_TEST(!lease.Holds(kStart + 101ms));
}

BOOST_AUTO_TEST_CASE(RecognisesItsOwnWriteWhoseReplyWasLost)
{
  DutyLease lease("lease/x", "me", kTiming);
  lease.Observe({ "lease/x", "", 0 }, kStart);
  lease.NextWrite(kStart);
  lease.OnWritten({ WriteResult::Unknown, 0 }, kStart);
  lease.Observe({ "lease/x", "me", 6 }, kStart + 900ms);
  // The request time of the write is unknown, so the lease is not held before
  // a renewal.
  BOOST_TEST(!lease.Holds(kStart + 901ms));
  BOOST_TEST(lease.NextWrite(kStart + 901ms).has_value());
  BOOST_TEST(lease.Token() == 6U);
}

/** What the row holds after a renewal whose response was lost. */
struct LostRenewalCase
{
  const char* name;
  const char* holder;
  std::uint64_t version;
  /** Whether the holder goes on to hold the lease. */
  bool isRenewed;
};

std::ostream&
operator<<(std::ostream& aStream, const LostRenewalCase& aCase)
{
  return aStream << aCase.name;
}

const LostRenewalCase kLostRenewals[] = {
  { "it was done", "me", 9, true },
  { "it wasn't done", "me", 5, true },
  { "it was done, and then overtaken", "other", 11, false },
};

/** A renewal must not take an earlier one of its own for another holder's. */
BOOST_DATA_TEST_CASE(RenewsAfterARenewalWhoseResponseWasLost,
                     data::make(kLostRenewals))
{
  DutyLease lease = HeldLease();
  const std::uint64_t token = lease.Token();
  BOOST_REQUIRE(lease.NextWrite(kStart + 500ms).has_value());
  lease.OnWritten({ WriteResult::Unknown, 0 }, kStart + 500ms);
  auto row = lease.NextWrite(kStart + 1000ms);
  BOOST_REQUIRE(row.has_value());
  if (row->version != sample.version) {
    lease.OnWritten({ WriteResult::Conflict, 0 }, kStart + 1000ms);
    BOOST_TEST(!lease.NextWrite(kStart + 1001ms).has_value());
    lease.Observe({ "lease/x", sample.holder, sample.version },
                  kStart + 1010ms);
    row = lease.NextWrite(kStart + 1010ms);
  }
  BOOST_REQUIRE(row.has_value() == sample.isRenewed);
  if (sample.isRenewed) {
    BOOST_TEST(row->version == sample.version);
    lease.OnWritten({ WriteResult::Applied, 12 }, kStart + 1010ms);
    BOOST_TEST(lease.Token() == token);
  }
  BOOST_TEST(lease.Holds(kStart + 2500ms) == sample.isRenewed);
}

BOOST_AUTO_TEST_CASE(ReleasedLeaseCanBeTakenImmediately)
{
  DutyLease lease = HeldLease();
  const auto row = lease.Release(kStart + 100ms);
  BOOST_REQUIRE(row.has_value());
  BOOST_TEST(!lease.Holds(kStart + 101ms));
  DutyLease next("lease/x", "next", kTiming);
  next.Observe({ "lease/x", row->value, 9 }, kStart + 200ms);
  BOOST_TEST(next.Holder().empty());
  BOOST_TEST(next.NextWrite(kStart + 201ms).has_value());
}

/** A node of an earlier release writes nothing but the holder's name. */
BOOST_AUTO_TEST_CASE(RowOfAnEarlierReleaseNamesItsHolder)
{
  DutyLease lease("lease/x", "me", kTiming);
  lease.Observe({ "lease/x", "other", 7 }, kStart);
  BOOST_TEST(lease.Holder() == "other");
  BOOST_TEST(!lease.NextWrite(kStart + 1999ms).has_value());
  lease.Observe({ "lease/x", "", 9 }, kStart + 1999ms);
  BOOST_TEST(lease.NextWrite(kStart + 1999ms).has_value());
}

/** Waits only while the row doesn't show who wrote it after the restoration. */
BOOST_AUTO_TEST_CASE(LeaseReleasedAfterARestorationCanBeTakenImmediately)
{
  DutyLease lease("lease/x", "me", kTiming);
  const std::uint64_t restored = Authority::MakeStoreVersion(2, 30);
  lease.Observe({ "lease/x", "", restored }, kStart);
  BOOST_REQUIRE(lease.NextWrite(kStart + 2001ms).has_value());
  lease.OnWritten({ WriteResult::Applied, restored + 1 }, kStart + 2001ms);
  const auto row = lease.Release(kStart + 2100ms);
  BOOST_REQUIRE(row.has_value());
  DutyLease next("lease/x", "next", kTiming);
  next.Observe({ "lease/x", row->value, restored + 2 }, kStart + 2200ms);
  BOOST_TEST(next.NextWrite(kStart + 2201ms).has_value());
}

/** The lease's row in a store that was restored from a copy. */
struct RestoredLeaseCase
{
  const char* name;
  const char* holder;
  /** The version number in the copy; 0 if it has no row. */
  std::uint64_t number;
};

std::ostream&
operator<<(std::ostream& aStream, const RestoredLeaseCase& aCase)
{
  return aStream << aCase.name;
}

const RestoredLeaseCase kRestoredLeases[] = {
  { "no row", "", 0 },
  { "a released row", "", 30 },
  { "an earlier holder", "earlier", 30 },
  { "the same holder", "other", 30 },
  { "this process, which held it earlier", "me", 30 },
};

/**
 * A process that took a restored row at once would hold the lease together with
 * a holder that the store has forgotten. One that took it for an old row, since
 * its version is lower, would never take it, and its token would be lower than
 * that of the forgotten holder.
 */
BOOST_DATA_TEST_CASE(RestoredLeaseIsTakenAfterItsDuration,
                     data::make(kRestoredLeases) * data::make({ false, true }),
                     sample,
                     isStartedLater)
{
  DutyLease lease("lease/x", "me", kTiming);
  const std::uint64_t forgotten = Authority::MakeStoreVersion(1, 50);
  const std::uint64_t restored = Authority::MakeStoreVersion(2, sample.number);
  // A process that starts after the restoration hasn't seen the earlier row.
  if (!isStartedLater)
    lease.Observe({ "lease/x", "other", forgotten }, kStart);
  lease.Observe({ "lease/x", sample.holder, restored }, kStart + 100ms);
  BOOST_TEST(!lease.NextWrite(kStart + 2099ms).has_value());
  const auto row = lease.NextWrite(kStart + 2101ms);
  BOOST_REQUIRE(row.has_value());
  BOOST_TEST(row->version == restored);
  lease.OnWritten({ WriteResult::Applied, restored + 1 }, kStart + 2101ms);
  BOOST_TEST(lease.Holds(kStart + 2200ms));
  BOOST_TEST(lease.Token() > forgotten);
}

BOOST_AUTO_TEST_CASE(HolderRenewsARestoredLeaseWithANewToken)
{
  DutyLease lease("lease/x", "me", kTiming);
  lease.Observe({ "lease/x", "", Authority::MakeStoreVersion(1, 0) }, kStart);
  lease.NextWrite(kStart);
  const std::uint64_t before = Authority::MakeStoreVersion(1, 50);
  lease.OnWritten({ WriteResult::Applied, before }, kStart);
  lease.NextWrite(kStart + 500ms);
  lease.OnWritten({ WriteResult::Conflict, 0 }, kStart + 500ms);
  BOOST_TEST(lease.NeedsRead());
  const std::uint64_t restored = Authority::MakeStoreVersion(2, 40);
  lease.Observe({ "lease/x", "me", restored }, kStart + 600ms);
  BOOST_TEST(lease.Holds(kStart + 600ms));
  BOOST_TEST(lease.Token() == restored);
  const auto row = lease.NextWrite(kStart + 601ms);
  BOOST_REQUIRE(row.has_value());
  lease.OnWritten({ WriteResult::Applied, restored + 1 }, kStart + 601ms);
  BOOST_TEST(lease.Token() == restored);
  BOOST_TEST(lease.Holds(kStart + 2200ms));
}

/**
 * The copy names a primary that has been replaced since. A node that believed
 * it would acknowledge writes of the former primary.
 */
BOOST_AUTO_TEST_CASE(RestoredRecordNeitherReplacesANewerOneNorGrantsAuthority)
{
  Authority::PrimaryAuthority authority({ 7500ms, 1200ms });
  GroupRecord newer = RecordOf(2, Authority::MakeStoreVersion(1, 50));
  newer.basis = Authority::MakeStoreVersion(1, 49);
  authority.Observe(newer, kStart);
  GroupRecord restored = RecordOf(1, Authority::MakeStoreVersion(2, 30));
  restored.basis = Authority::MakeStoreVersion(1, 29);
  authority.Observe(restored, kStart + 2s);
  BOOST_TEST(authority.Record()->primary == "db2");
  BOOST_TEST(authority.Record()->version == restored.version);
  // The authority that the node has lasts, but is not extended.
  BOOST_TEST(authority.HoldsFor("db2", 2, kStart + 7499ms));
  BOOST_TEST(!authority.Holds(kStart + 7500ms));
  GroupRecord confirmed = RecordOf(2, Authority::MakeStoreVersion(2, 31));
  confirmed.basis = restored.version;
  authority.Observe(confirmed, kStart + 3s);
  BOOST_TEST(authority.HoldsFor("db2", 2, kStart + 10s));
}

/**
 * A node may read the restored row before or after it hears of the newer record
 * from another node. If the order decided, it would go on using the primary
 * that the newer record takes away, though it has confirmed the record.
 */
BOOST_DATA_TEST_CASE(RestoredRowAndNewerRecordCombineInEitherOrder,
                     data::make({ false, true }),
                     isRestoredRowFirst)
{
  Authority::PrimaryAuthority authority({ 7500ms, 1200ms });
  GroupRecord known = RecordOf(1, Authority::MakeStoreVersion(1, 30));
  known.basis = Authority::MakeStoreVersion(1, 29);
  authority.Observe(known, kStart);
  GroupRecord change = RecordOf(1, Authority::MakeStoreVersion(1, 50));
  change.basis = known.version;
  change.change = Authority::PrimaryChange{};
  GroupRecord restored = known;
  restored.version = Authority::MakeStoreVersion(2, 30);
  const auto observe = [&](const GroupRecord& aRecord) {
    authority.Observe(aRecord, Authority::kNoRequestTime);
  };
  observe(isRestoredRowFirst ? restored : change);
  observe(isRestoredRowFirst ? change : restored);
  BOOST_TEST(!authority.Holds(kStart + 1ms));
  BOOST_TEST(authority.Record()->change.has_value());
  // The next write has to replace the row that the store has.
  BOOST_TEST(authority.Record()->version == restored.version);
}

BOOST_AUTO_TEST_CASE(AuthorityLastsFromTheRequestTime)
{
  Authority::PrimaryAuthority authority({ 7500ms, 1200ms });
  BOOST_TEST(!authority.Holds(kStart));
  authority.Observe(RecordOf(1, 3), kStart);
  BOOST_TEST(authority.Holds(kStart + 7499ms));
  BOOST_TEST(!authority.Holds(kStart + 7500ms));
  BOOST_TEST(authority.HoldsForPlainReads(kStart + 1199ms));
  BOOST_TEST(!authority.HoldsForPlainReads(kStart + 1200ms));
  authority.Renew(kStart + 1s);
  BOOST_TEST(authority.HoldsForPlainReads(kStart + 2100ms));
  // A reply to an older request does not shorten the lease.
  authority.Renew(kStart);
  BOOST_TEST(authority.HoldsForPlainReads(kStart + 2100ms));
}

BOOST_AUTO_TEST_CASE(RecordWithoutRequestTimeGrantsNoAuthority)
{
  Authority::PrimaryAuthority authority({ 7500ms, 1200ms });
  authority.Observe(RecordOf(1, 3), Authority::kNoRequestTime);
  BOOST_TEST(!authority.Holds(Instant{}));
  BOOST_TEST(!authority.Holds(kStart));
}

BOOST_AUTO_TEST_CASE(ChangeRevokesAuthorityAndOlderRecordsDoNotRestoreIt)
{
  Authority::PrimaryAuthority authority({ 7500ms, 1200ms });
  authority.Observe(RecordOf(1, 3), kStart);
  GroupRecord change = RecordOf(1, 4);
  change.change = Authority::PrimaryChange{};
  authority.Observe(change, Authority::kNoRequestTime);
  BOOST_TEST(!authority.Holds(kStart + 1ms));
  authority.Observe(RecordOf(1, 3), kStart + 2ms);
  authority.Renew(kStart + 2ms);
  BOOST_TEST(!authority.Holds(kStart + 3ms));
  authority.Observe(RecordOf(2, 5), kStart + 4ms);
  BOOST_TEST(authority.HoldsFor("db2", 2, kStart + 5ms));
  BOOST_TEST(!authority.HoldsFor("db1", 1, kStart + 5ms));
}

BOOST_AUTO_TEST_CASE(NewTermDoesNotInheritThePreviousLease)
{
  Authority::PrimaryAuthority authority({ 7500ms, 1200ms });
  authority.Observe(RecordOf(1, 3), kStart);
  authority.Observe(RecordOf(2, 5), Authority::kNoRequestTime);
  BOOST_TEST(!authority.Holds(kStart + 1ms));
}

BOOST_DATA_TEST_CASE(ClampsRolledBackPositions, data::make(kClamps))
{
  const auto clamped = Authority::ClampToTerms(sample.position, sample.starts);
  BOOST_TEST((clamped == sample.expected));
}

BOOST_AUTO_TEST_CASE(FloorComesFromOldestSampleWithinTheBound)
{
  Authority::SampleHistory history;
  BOOST_TEST(!history.FloorFor(kStart, 1500ms).has_value());
  history.Add(kStart, { 1, 10 });
  history.Add(kStart + 500ms, { 1, 20 });
  history.Add(kStart + 1000ms, { 1, 30 });
  const auto at = [&history](Core::Duration aAge) {
    const auto floor = history.FloorFor(kStart + aAge, 1500ms);
    return floor ? floor->position : 0;
  };
  BOOST_TEST(at(1400ms) == 10U);
  BOOST_TEST(at(1500ms) == 20U); // 20 ms margin for clock drift.
  BOOST_TEST(at(2400ms) == 30U);
  BOOST_TEST(at(2500ms) == 0U);
}

BOOST_AUTO_TEST_CASE(PromotionClampsTheFloor)
{
  Authority::SampleHistory history;
  history.Add(kStart, { 1, 10 });
  history.Clamp({ { 2, 7 } });
  const auto floor = history.FloorFor(kStart + 1ms, 1500ms);
  BOOST_REQUIRE(floor.has_value());
  BOOST_TEST((*floor == Session::LogPosition{ 1, 7 }));
}

BOOST_AUTO_TEST_CASE(RecordRoundTripsThroughText)
{
  GroupRecord record = RecordOf(3, 0);
  record.change = Authority::PrimaryChange{ "db9", true };
  record.starts = { { 2, 100 }, { 3, 180 } };
  record.basis = Authority::MakeStoreVersion(2, 17);
  Core::LastReason reason;
  const auto back = GroupRecord::Parse("g", record.ToText(), reason);
  BOOST_REQUIRE(back.has_value());
  BOOST_TEST(back->term == 3U);
  BOOST_TEST(back->change->candidate == "db9");
  BOOST_TEST(back->change->isSwitchover);
  BOOST_TEST(back->starts.size() == 2U);
  BOOST_TEST(back->basis == record.basis);
  const auto earlier = GroupRecord::Parse(
    "g", R"({"term":3,"primary":"db1","candidate":"db9","starts":[]})", reason);
  BOOST_REQUIRE(earlier.has_value());
  BOOST_TEST(!earlier->change->isSwitchover);
  BOOST_TEST(!GroupRecord::Parse("g", "{}", reason).has_value());
  BOOST_TEST(!GroupRecord::Parse("g", "\xff", reason).has_value());
}

/**
 * The next holder of the duty must know which databases may have acknowledged
 * commits. Records of groups without synchronous replicas say nothing of it.
 */
BOOST_AUTO_TEST_CASE(RecordKeepsItsLogHolders)
{
  GroupRecord record = RecordOf(3, 7);
  BOOST_TEST(record.ToText().find("holders") == std::string::npos);
  record.syncReplicas = 1;
  record.logHolders = { { "a", 1700000000000 }, { "b", 0 } };
  Core::LastReason reason;
  const auto back = GroupRecord::Parse("g", record.ToText(), reason);
  BOOST_REQUIRE(back.has_value());
  BOOST_TEST(back->syncReplicas == 1);
  BOOST_CHECK(back->logHolders == record.logHolders);
}
