#define BOOST_TEST_MODULE ReplicaState
#include <LibStandIn/ReplicaState.h>

#include <boost/test/unit_test.hpp>

using namespace StandIn;

namespace {

struct NoStorage final : ReplicaStorage
{
  void SaveMeta(const ReplicaMeta&) override {}
  void Append(const LogEntry&) override {}
  void TruncateTo(std::uint64_t) override {}
};

struct Fixture
{
  NoStorage storage;
  Core::LastReason reason;
  ReplicaState a{ {}, {}, storage };
  ReplicaState b{ {}, {}, storage };

  void MakePrimary(ReplicaState& aState, Term aTerm)
  {
    BOOST_REQUIRE(aState.Fence(aTerm, "o", {}, reason));
    BOOST_REQUIRE(aState.Promote(aTerm, "o", reason));
  }
  /** Replicates the log of aFrom to its follower aTo. */
  void Replicate(const ReplicaState& aFrom, ReplicaState& aTo)
  {
    LogRequest request{ aTo.Meta().promised,
                        aTo.Log().position,
                        aTo.TermAt(aTo.Log().position) };
    for (int i = 0; i < 20; ++i) {
      const auto batch = aFrom.Serve(request, 100);
      BOOST_REQUIRE(batch);
      if (batch->matched) {
        aTo.Accept(*batch);
        return;
      }
      request.afterPosition = batch->retryFrom;
      request.afterTerm = aTo.TermAt(batch->retryFrom);
    }
    BOOST_FAIL("no log position matched");
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ATermIsPromisedToOneOwner, Fixture)
{
  BOOST_TEST(a.Fence(3, "x", {}, reason));
  BOOST_TEST(!a.Fence(3, "y", {}, reason));
  BOOST_TEST(!a.Fence(2, "y", {}, reason));
  BOOST_TEST(a.Fence(4, "y", {}, reason));
  BOOST_TEST(!a.Promote(3, "x", reason));
}

BOOST_FIXTURE_TEST_CASE(AFollowerAdoptsTheLogTermOnlyAfterCatchingUp, Fixture)
{
  MakePrimary(a, 1);
  for (int i = 0; i < 5; ++i)
    a.Append("entry");
  MakePrimary(a, 2);
  b.Follow(2, "o", "a", reason);
  const auto half = a.Serve({ 2, 0, 0 }, 3);
  BOOST_REQUIRE(half);
  b.Accept(*half);
  BOOST_TEST(b.Log().ToText() == "0:3");
  Replicate(a, b);
  BOOST_TEST(b.Log().ToText() == "2:5");
}

BOOST_FIXTURE_TEST_CASE(ADivergentTailIsTruncated, Fixture)
{
  MakePrimary(a, 1);
  a.Append("shared");
  b.Follow(1, "o", "a", reason);
  Replicate(a, b);
  a.Append("lost 1");
  a.Append("lost 2");
  MakePrimary(b, 2);
  b.Append("kept");
  a.Follow(2, "o", "b", reason);
  Replicate(b, a);
  BOOST_TEST(a.Log().ToText() == "2:2");
  BOOST_TEST(a.Entries()[1].payload == "kept");
}

BOOST_FIXTURE_TEST_CASE(ALongerTailIsTruncatedEvenWithoutNewEntries, Fixture)
{
  MakePrimary(a, 1);
  a.Append("shared");
  b.Follow(1, "o", "a", reason);
  Replicate(a, b);
  a.Append("lost");
  MakePrimary(b, 2);
  a.Follow(2, "o", "b", reason);
  Replicate(b, a);
  BOOST_TEST(a.Log().ToText() == "2:1");
}

BOOST_FIXTURE_TEST_CASE(AStaleBatchTruncatesNothing, Fixture)
{
  MakePrimary(a, 1);
  a.Append("one");
  b.Follow(1, "o", "a", reason);
  const auto stale = a.Serve({ 1, 0, 0 }, 100);
  a.Append("two");
  Replicate(a, b);
  b.Accept(*stale);
  BOOST_TEST(b.Log().ToText() == "1:2");
}

BOOST_FIXTURE_TEST_CASE(ANewIdentityIsAdmittedOnlyByALaterTerm, Fixture)
{
  MakePrimary(a, 1);
  a.Append("one");
  ReplicaMeta meta;
  meta.identity = "fresh";
  meta.joining = true;
  ReplicaState fresh(meta, {}, storage);
  fresh.Follow(1, "o", "a", reason);
  Replicate(a, fresh);
  BOOST_TEST(fresh.Meta().joining);
  BOOST_TEST(!fresh.Promote(1, "o", reason));
  // A promoter that does not know the new identity does not admit it.
  BOOST_REQUIRE(fresh.Fence(2, "o", {}, reason));
  MakePrimary(a, 2);
  fresh.Follow(2, "o", "a", reason);
  Replicate(a, fresh);
  BOOST_TEST(fresh.Meta().joining);
  BOOST_REQUIRE(fresh.Fence(3, "o", { { "c", "fresh" } }, reason));
  MakePrimary(a, 3);
  fresh.Follow(3, "o", "a", reason);
  Replicate(a, fresh);
  BOOST_TEST(!fresh.Meta().joining);
}
