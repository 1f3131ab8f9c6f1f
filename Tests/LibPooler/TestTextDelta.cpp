#define BOOST_TEST_MODULE TextDelta
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <LibPooler/TextDelta.h>

#include <ostream>

using Pooler::ApplyTextDelta;
using Pooler::ApplyTextDeltas;
using Pooler::MakeTextDelta;

namespace {

struct DeltaCase
{
  const char* name;
  std::string before;
  std::string after;
  /** The serialized delta is at most this long. */
  std::size_t limit;
};

std::ostream&
operator<<(std::ostream& aStream, const DeltaCase& aCase)
{
  return aStream << aCase.name;
}

/** A list of routes without the one at aGap, with aTail after the list. */
std::string
Routes(int aCount, int aGap, const std::string& aTail)
{
  std::string text = R"({"version":1,"routes":[)";
  for (int i = 0; i < aCount; ++i) {
    if (i != aGap)
      text += R"({"name":"r)" + std::to_string(i) + R"(","timeout-ms":900},)";
  }
  return text + aTail;
}

const DeltaCase kDeltas[] = {
  { "equal", Routes(500, -1, "]}"), Routes(500, -1, "]}"), 20 },
  { "a route is removed", Routes(500, -1, "]}"), Routes(500, 250, "]}"), 40 },
  { "a route is added", Routes(500, 250, "]}"), Routes(500, -1, "]}"), 100 },
  { "the end changes",
    Routes(500, -1, R"(],"x":1})"),
    Routes(500, -1, R"(],"x":2})"),
    40 },
  { "from nothing", "", Routes(3, -1, "]}"), 300 },
  { "to nothing", Routes(3, -1, "]}"), "", 10 },
  { "without braces", "abc", "abd", 20 },
  { "repeated pieces", "a}a}a}b}", "a}a}b}a}a}", 60 },
};

struct BadDelta
{
  const char* name;
  const char* deltas;
};

std::ostream&
operator<<(std::ostream& aStream, const BadDelta& aCase)
{
  return aStream << aCase.name;
}

const BadDelta kBadDeltas[] = {
  { "not JSON", "[[[0,1]" },
  { "not a list", "{}" },
  { "a delta that isn't a list", "[1]" },
  { "a run beyond the end", "[[[0,3]]]" },
  { "a run that begins beyond the end", "[[[9,0]]]" },
  { "a count that overflows", "[[[1,18446744073709551615]]]" },
  { "a negative index", "[[[-1,1]]]" },
  { "a run of one number", "[[[1]]]" },
  { "a number alone", "[[7]]" },
};

} // namespace

BOOST_DATA_TEST_CASE(ADeltaGivesTheTextAfterTheChange,
                     boost::unit_test::data::make(kDeltas))
{
  const boost::json::array delta = MakeTextDelta(sample.before, sample.after);
  BOOST_TEST(boost::json::serialize(delta).size() <= sample.limit);
  const auto text = ApplyTextDelta(sample.before, delta);
  BOOST_TEST_REQUIRE(text.has_value());
  BOOST_TEST(*text == sample.after);
}

/** Guards against a read beyond the text that a peer's message asks for. */
BOOST_DATA_TEST_CASE(ADeltaThatDoesNotFitIsRejected,
                     boost::unit_test::data::make(kBadDeltas))
{
  BOOST_TEST(!ApplyTextDeltas("a}b}", sample.deltas).has_value());
}

BOOST_AUTO_TEST_CASE(DeltasAreAppliedInTurn)
{
  const boost::json::array deltas{ MakeTextDelta("a}b}", "a}c}b}"),
                                   MakeTextDelta("a}c}b}", "c}b}d}") };
  const auto text = ApplyTextDeltas("a}b}", boost::json::serialize(deltas));
  BOOST_TEST_REQUIRE(text.has_value());
  BOOST_TEST(*text == "c}b}d}");
}
