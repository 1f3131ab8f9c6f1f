#define BOOST_TEST_MODULE FleetSettings
#include <LibSettings/FleetSettings.h>
#include <LibSettings/ProcessSettings.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using Settings::FleetSettings;

namespace {

struct InvalidInput
{
  std::string text;
  /** Texts that the findings must contain. */
  std::vector<std::string> expected;
};

std::ostream&
operator<<(std::ostream& aStream, const InvalidInput& aInput)
{
  return aStream << aInput.text;
}

const std::vector<InvalidInput> kInvalidInputs{
  { "[kind]\nwieght = 3\n", { "f:2 [kind] wieght", "kind.weight" } },
  { "[queue]\nlongest = many\n", { "f:2", "whole number from 1" } },
  { "[queue]\nlongest = 0\n", { "f:2" } },
  { "[queue]\nweighted = yes\n", { "true or false" } },
  { "[reads]\npolicy = nearest\n", { "must be one of least_wait" } },
  { "nonsense\n", { "f:1", "neither" } },
  { "[exception a]\nscope = group=g\nkey = queue.longest\nvalue = 5\n",
    { "[exception a]", "has no reason" } },
  { "[exception a]\nscope = planet=g\nkey = queue.longest\nvalue = 5\n"
    "reason = r\n",
    { "f:2", "planet" } },
  { "[exception a]\nscope = group=g\nkey = queue.longst\nvalue = 5\nreason = "
    "r\n",
    { "queue.longest" } },
  { "[queue]\nlongest = 5\nlongest = 6\n", { "f:3", "second time" } },
};

} // namespace

BOOST_DATA_TEST_CASE(InvalidInputsReportAllFindings,
                     boost::unit_test::data::make(kInvalidInputs),
                     input)
{
  Core::Findings findings;
  BOOST_TEST(!FleetSettings::Parse(input.text, "f", findings));
  for (const std::string& expected : input.expected)
    BOOST_TEST(findings.ToText().find(expected) != std::string::npos,
               findings.ToText() + " lacks " + expected);
}

BOOST_AUTO_TEST_CASE(TheMostSpecificExceptionWins)
{
  Core::Findings findings;
  const auto fleet = FleetSettings::Parse(
    "[kind]\nweight = 2\n"
    "[kind lodge]\nweight = 7\n"
    "[exception wide]\nscope = group=g\nkey = kind.weight\nvalue = 9\n"
    "reason = r\n"
    "[exception narrow]\nscope = group=g, kind=lodge\nkey = kind.weight\n"
    "value = 11\nreason = r\n",
    "f",
    findings);
  BOOST_REQUIRE_MESSAGE(fleet, findings.ToText());
  BOOST_TEST(fleet->Integer("kind.weight") == 2);
  BOOST_TEST(fleet->Integer("kind.weight", { "", "lodge", "" }) == 7);
  BOOST_TEST(fleet->Integer("kind.weight", { "g", "other", "" }) == 9);
  BOOST_TEST(fleet->Integer("kind.weight", { "g", "lodge", "" }) == 11);
}

BOOST_AUTO_TEST_CASE(IniTextRoundTrips)
{
  Core::Findings findings;
  const std::string text =
    "[kind lodge]\nweight = 7\n\n"
    "[exception narrow]\nscope = group=g, kind=lodge\nkey = kind.weight\n"
    "value = 11\nreason = the festival's last day\n\n";
  const auto fleet = FleetSettings::Parse(text, "f", findings);
  BOOST_REQUIRE(fleet);
  BOOST_TEST(fleet->ToIni() == text);
}

BOOST_AUTO_TEST_CASE(EveryDefaultIsValid)
{
  for (const auto& spec : Settings::FleetSettingsTable())
    BOOST_TEST(!Settings::CheckValue(spec, spec.standard),
               std::string(spec.name));
}

BOOST_AUTO_TEST_CASE(AllMissingProcessSettingsAreReportedTogether)
{
  Core::Findings findings;
  BOOST_TEST(!Settings::ProcessSettings::Parse(
    "[node]\nname = n\n[proxy]\ncallers = here:1\n", "p", findings));
  for (const char* expected :
       { "p:4 [proxy] callers", "node.data_centre", "secrets.operators" })
    BOOST_TEST(findings.ToText().find(expected) != std::string::npos, expected);
}
