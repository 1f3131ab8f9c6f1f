#define BOOST_TEST_MODULE OddLeases
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <LibAuthority/DutyLease.h>
#include <LibAuthority/StoreVersion.h>

#include <ostream>
#include <string>

using namespace std::chrono_literals;
using Authority::DutyLease;
using Authority::MakeStoreVersion;
using Authority::WriteResult;

namespace {

constexpr Authority::DutyLeaseTiming kTiming{ 2000ms, 250ms, 500ms };
const Core::Instant kStart{ 10s };

/** A text that no process of ours writes. */
struct OddText
{
  const char* name;
  std::string text;
};

std::ostream&
operator<<(std::ostream& aStream, const OddText& aCase)
{
  return aStream << aCase.name;
}

const OddText kOddTexts[] = {
  { "no JSON", "{\"holder\"" },
  { "an empty object", "{}" },
  { "an array", "[1, 2]" },
  { "null", "null" },
  { "no basis", R"({"holder":""})" },
  { "no holder", R"({"basis":1})" },
  { "a holder of another type", R"({"holder":5,"basis":1})" },
  { "a holder that is null", R"({"holder":null,"basis":1})" },
  { "a basis of another type", R"({"holder":"other","basis":"x"})" },
  { "a negative basis", R"({"holder":"other","basis":-1})" },
  { "a basis beyond the range", R"({"holder":"other","basis":1e30})" },
  { "a released lease with an odd basis", R"({"holder":"","basis":"x"})" },
  { "a released lease of a later era", R"({"holder":"","basis":1e30})" },
};

/** Before the store was ever restored, and after. */
const std::uint64_t kEras[] = { 0, 1 };

} // namespace

/**
 * Guards against a duty with two holders: a row that can't be read must count
 * as held, as its writer may hold the lease.
 */
BOOST_DATA_TEST_CASE(AnOddRowIsTakenAfterALeaseOnly,
                     boost::unit_test::data::make(kOddTexts) *
                       boost::unit_test::data::make(kEras),
                     odd,
                     era)
{
  DutyLease lease("lease/x", "me", kTiming);
  lease.Observe({ "lease/x", odd.text, MakeStoreVersion(era, 7) }, kStart);
  BOOST_TEST(!lease.Holds(kStart));
  BOOST_TEST(!lease.NextWrite(kStart + 1900ms).has_value());
  const auto row = lease.NextWrite(kStart + 2001ms);
  BOOST_REQUIRE(row.has_value());
  BOOST_TEST(row->version == MakeStoreVersion(era, 7));
  lease.OnWritten({ WriteResult::Applied, MakeStoreVersion(era, 8) },
                  kStart + 2001ms);
  BOOST_TEST(lease.Token() == MakeStoreVersion(era, 8));
  BOOST_TEST(lease.Holds(kStart + 2100ms));
}

/** Guards against a holder that acts beside the writer of an odd row. */
BOOST_DATA_TEST_CASE(AHolderLosesItsLeaseToAnOddRow,
                     boost::unit_test::data::make(kOddTexts) *
                       boost::unit_test::data::make(kEras),
                     odd,
                     era)
{
  DutyLease lease("lease/x", "me", kTiming);
  lease.Observe({ "lease/x", "", 0 }, kStart);
  BOOST_REQUIRE(lease.NextWrite(kStart).has_value());
  lease.OnWritten({ WriteResult::Applied, MakeStoreVersion(era, 5) }, kStart);
  BOOST_TEST(lease.Holds(kStart + 100ms));
  lease.Observe({ "lease/x", odd.text, MakeStoreVersion(era, 6) },
                kStart + 100ms);
  BOOST_TEST(!lease.Holds(kStart + 100ms));
  BOOST_TEST(!lease.NextWrite(kStart + 1000ms).has_value());
}
