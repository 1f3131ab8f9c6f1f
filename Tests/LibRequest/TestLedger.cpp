#define BOOST_TEST_MODULE Ledger
#include <LibRequest/Ledger.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Request;

namespace {

Endpoint::BatchResponse
ResponseWith(const char* aRows)
{
  Endpoint::BatchResponse response;
  response.status = Endpoint::BatchStatus::Ok;
  response.results.emplace_back();
  response.results[0].rows = boost::json::parse(aRows).as_array();
  return response;
}

} // namespace

BOOST_AUTO_TEST_CASE(ReadsLedgerRows)
{
  std::int64_t affected = 0;
  BOOST_CHECK(Ledger::ReadRow(ResponseWith(R"([["run",3]])"), affected) ==
              LedgerRow::Run);
  BOOST_TEST(affected == 3);
  BOOST_CHECK(Ledger::ReadRow(ResponseWith(R"([["tombstone",0]])"), affected) ==
              LedgerRow::Tombstone);
  BOOST_CHECK(Ledger::ReadRow(ResponseWith("[]"), affected) ==
              LedgerRow::Absent);
}

BOOST_DATA_TEST_CASE(
  MalformedRowGivesNoResult,
  boost::unit_test::data::make(
    { "[[1]]", "[[1,2]]", R"([["run","x"]])", R"([["run",1,2]])", "[7]" }),
  rows)
{
  std::int64_t affected = 0;
  BOOST_TEST(!Ledger::ReadRow(ResponseWith(rows), affected));
}
