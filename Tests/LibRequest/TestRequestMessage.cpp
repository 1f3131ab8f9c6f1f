#define BOOST_TEST_MODULE RequestMessage
#include <LibRequest/RequestMessage.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace {

struct BadBody
{
  std::string body;
  /** The expected places of the findings, in order. */
  std::vector<std::string> places;
};

std::ostream&
operator<<(std::ostream& aStream, const BadBody& aBad)
{
  return aStream << aBad.body;
}

const std::vector<BadBody> kBadBodies{
  { "", { "body, byte 0" } },
  { "{", { "body, byte 1" } },
  { "[1]", { "body" } },
  { "{} x", { "body, byte 3" } },
  { "{}", { "/request_id", "/sql" } },
  { R"({"request_id":7,"sql":"x"})", { "/request_id" } },
  { R"({"request_id":"a","sql":"x","attempt":0})", { "/attempt" } },
  { R"({"request_id":"a","sql":"x","write":"yes"})", { "/write" } },
  { R"({"request_id":"a","sql":"x","params":{}})", { "/params" } },
  { R"({"request_id":"a","sql":"x","params":[1,[2]]})", { "/params/1" } },
  { R"({"request_id":"a","sql":"x","token":"m1.nonsense"})", { "/token" } },
  { R"({"request_id":"a","sql":"x","deadline_ms":-1,"max_age_ms":"a"})",
    { "/max_age_ms", "/deadline_ms" } },
  { R"({"request_id":"a","sql":"x","extra":1})", { "/extra" } },
};

} // namespace

BOOST_DATA_TEST_CASE(ReportsEveryInvalidField,
                     boost::unit_test::data::make(kBadBodies),
                     bad)
{
  Core::Findings findings;
  BOOST_TEST(!Request::StatementRequest::Parse(bad.body, findings));
  std::vector<std::string> places;
  for (const Core::Finding& finding : findings.List())
    places.push_back(finding.place);
  BOOST_TEST(places == bad.places, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ParsesCompleteRequest)
{
  Core::Findings findings;
  const auto request = Request::StatementRequest::Parse(
    R"({"request_id":"a","session":"s","kind":"lodge","sql":"x","params":[1,"b",null],
        "attempt":3,"write":true,"repeatable":true,"max_age_ms":5,"deadline_ms":70})",
    findings);
  BOOST_REQUIRE(request);
  BOOST_TEST(request->attempt == 3);
  BOOST_TEST(request->isWrite);
  BOOST_TEST(request->isRepeatable);
  BOOST_TEST(request->statement.parameters.size() == 3U);
  BOOST_TEST(Core::ToMilliseconds(*request->deadline) == 70);
}
