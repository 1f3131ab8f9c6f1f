#define BOOST_TEST_MODULE Ledger
#include <LibRequest/Ledger.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Request;

namespace {

Endpoint::BatchAnswer
AnswerWith(const char* aRows)
{
  Endpoint::BatchAnswer answer;
  answer.status = Endpoint::BatchStatus::Ok;
  answer.results.emplace_back();
  answer.results[0].rows = boost::json::parse(aRows).as_array();
  return answer;
}

} // namespace

BOOST_AUTO_TEST_CASE(ReadsItsOwnRows)
{
  std::int64_t affected = 0;
  BOOST_CHECK(Ledger::ReadRow(AnswerWith(R"([["run",3]])"), affected) ==
              LedgerRow::Run);
  BOOST_TEST(affected == 3);
  BOOST_CHECK(Ledger::ReadRow(AnswerWith(R"([["tombstone",0]])"), affected) ==
              LedgerRow::Tombstone);
  BOOST_CHECK(Ledger::ReadRow(AnswerWith("[]"), affected) == LedgerRow::Absent);
}

BOOST_DATA_TEST_CASE(
  AnotherShapeTellsNothing,
  boost::unit_test::data::make(
    { "[[1]]", "[[1,2]]", R"([["run","x"]])", R"([["run",1,2]])", "[7]" }),
  rows)
{
  std::int64_t affected = 0;
  BOOST_TEST(!Ledger::ReadRow(AnswerWith(rows), affected));
}
