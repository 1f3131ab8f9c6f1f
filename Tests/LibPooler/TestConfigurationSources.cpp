#define BOOST_TEST_MODULE ConfigurationSources
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <LibPooler/ConfigurationSources.h>

#include <ostream>
#include <set>

using namespace std::chrono_literals;
using Pooler::ConfigurationSources;
using Pooler::Member;

namespace {

constexpr Core::Instant kStart{ 100s };

/** Two regions of three data centres; the first VM of each is a large one. */
std::vector<Member>
MakeMembers(int aPerDataCentre, int aDataCentres = 6)
{
  std::vector<Member> members;
  for (int centre = 0; centre < aDataCentres; ++centre) {
    for (int i = 0; i < aPerDataCentre; ++i) {
      Member member;
      member.name = "dc" + std::to_string(centre) + "-vm" + std::to_string(i);
      member.incarnation = "1";
      member.dataCentre = "dc" + std::to_string(centre);
      member.region = centre % 2 == 0 ? "even" : "odd";
      member.processors = i == 0 ? 0.5 : 0.12;
      members.push_back(member);
    }
  }
  return members;
}

ConfigurationSources
SourcesOf(const Member& aSelf, const std::vector<Member>& aMembers)
{
  ConfigurationSources sources(aSelf.Key());
  sources.SetMembers(aMembers);
  sources.SetNotified(true);
  return sources;
}

struct FleetCase
{
  int perDataCentre;
  /** The members of each data centre that read the store. */
  int readers;
};

std::ostream&
operator<<(std::ostream& aStream, const FleetCase& aCase)
{
  return aStream << aCase.perDataCentre;
}

const FleetCase kFleets[] = {
  { 1, 1 },  { 2, 2 },  { 3, 3 },  { 4, 1 },  { 5, 1 },
  { 17, 1 }, { 24, 1 }, { 25, 2 }, { 50, 3 },
};

/** How many of a region's members would read the store at aNow. */
std::size_t
StoreReaders(std::vector<ConfigurationSources>& aSources, Core::Instant aNow)
{
  std::size_t count = 0;
  for (ConfigurationSources& sources : aSources)
    count += sources.Choose(aNow) ? 0 : 1;
  return count;
}

/** A follower of a data centre, its reader, and the region's other readers. */
class Fixture
{
public:
  Fixture()
    : members(MakeMembers(10))
    , follower(SourcesOf(members[1], members))
  {
  }

  std::string Ask(Core::Instant aNow)
  {
    const auto member = follower.Choose(aNow);
    return member ? member->name : "store";
  }

  std::vector<Member> members;
  ConfigurationSources follower;
};

} // namespace

/** The store is read by a few nodes of each data centre, large ones first. */
BOOST_DATA_TEST_CASE(FewMembersOfADataCentreReadTheStore,
                     boost::unit_test::data::make(kFleets))
{
  const auto members = MakeMembers(sample.perDataCentre);
  int readers = 0;
  for (const Member& member : members) {
    ConfigurationSources sources = SourcesOf(member, members);
    const auto source = sources.Choose(kStart);
    readers += source ? 0 : 1;
    if (source)
      BOOST_TEST(source->dataCentre == member.dataCentre);
    if (member.processors == 0.5)
      BOOST_TEST(sources.IsReader());
  }
  BOOST_TEST(readers == 6 * sample.readers);
}

BOOST_FIXTURE_TEST_SUITE(Sources, Fixture)

BOOST_AUTO_TEST_CASE(TheHolderOfTheFailoverDutyReadsTheStore)
{
  BOOST_TEST(Ask(kStart) == "dc0-vm0");
  follower.SetHoldsDuty(true);
  BOOST_TEST(Ask(kStart) == "store");
}

BOOST_AUTO_TEST_CASE(WithoutTheListOfMembersTheStoreIsRead)
{
  ConfigurationSources unknown("x#1");
  BOOST_TEST(!unknown.Choose(kStart).has_value());
  unknown.SetMembers(members);
  unknown.SetNotified(true);
  BOOST_TEST(!unknown.Choose(kStart).has_value());
}

/** Guards against a region that turns to the store at once when it is told. */
BOOST_AUTO_TEST_CASE(AnExpelledNodeGoesOnAskingItsReader)
{
  std::erase_if(
    members, [](const Member& aMember) { return aMember.name == "dc0-vm1"; });
  follower.SetMembers(members);
  BOOST_TEST(Ask(kStart) == "dc0-vm0");
}

/** Guards against waiting for a reader that has ended or is frozen. */
BOOST_AUTO_TEST_CASE(AReaderThatFailedIsReplacedByAnotherOfItsRegion)
{
  follower.OnPeerFailed("dc0-vm0#1", kStart);
  const std::string other = Ask(kStart);
  BOOST_TEST((other == "dc2-vm0" || other == "dc4-vm0" ||
              other.starts_with("dc0-vm") || other.starts_with("dc2-vm") ||
              other.starts_with("dc4-vm")));
  BOOST_TEST(other != "dc0-vm0");
  BOOST_TEST(Ask(kStart + ConfigurationSources::kSuspicion) == "dc0-vm0");
}

BOOST_AUTO_TEST_CASE(WithoutAnyPeerTheStoreIsRead)
{
  for (const Member& member : members)
    follower.OnPeerFailed(member.Key(), kStart);
  BOOST_TEST(Ask(kStart) == "store");
}

/** Guards against waiting for a reader that lags behind or can't read. */
BOOST_AUTO_TEST_CASE(ANewerConfigurationIsNotAwaitedFromOneReaderForEver)
{
  follower.OnNewerKnown(kStart);
  BOOST_TEST(Ask(kStart) == "dc0-vm0");
  BOOST_TEST(Ask(kStart + ConfigurationSources::kPatience - 1ms) == "dc0-vm0");
  std::set<std::string> asked;
  for (Core::Duration wait = 0ms; wait < 2200ms; wait += 200ms)
    asked.insert(Ask(kStart + ConfigurationSources::kPatience + wait));
  BOOST_TEST(asked.contains("store"));
  BOOST_TEST(asked.size() > 1U);
  follower.OnReceived();
  BOOST_TEST(Ask(kStart + 10s) == "dc0-vm0");
}

/**
 * Guards against relying on a reader that has silently lost the store while
 * nobody tells of newer configurations.
 */
BOOST_AUTO_TEST_CASE(UnnotifiedNodesRelyOnNoSinglePeer)
{
  const auto fleet = MakeMembers(50);
  std::size_t storeReaders = 0;
  for (const Member& member : fleet) {
    ConfigurationSources sources = SourcesOf(member, fleet);
    sources.SetNotified(false);
    if (member.region != "even" || sources.IsReader())
      continue;
    std::set<std::string> asked;
    for (int i = 0; i < 6; ++i) {
      const auto source = sources.Choose(kStart);
      asked.insert(source ? source->name : "store");
    }
    storeReaders += asked.contains("store") ? 1 : 0;
    BOOST_TEST((asked.contains("store") || asked.size() >= 3U));
  }
  BOOST_TEST(storeReaders == ConfigurationSources::kUnnotifiedCohort);
}

/** Progress of the reader's own transfer is worth waiting for, to a limit. */
BOOST_AUTO_TEST_CASE(AReaderThatIsReceivingIsAwaitedLonger)
{
  follower.OnNewerKnown(kStart);
  for (int i = 1; i <= 10; ++i)
    follower.OnPeerReceiving(1000 * static_cast<std::size_t>(i),
                             kStart + i * 180ms);
  BOOST_TEST(Ask(kStart + 1900ms) == "dc0-vm0");
  BOOST_TEST(Ask(kStart + 2000ms) != "dc0-vm0");
}

BOOST_AUTO_TEST_CASE(AReaderThatMakesNoProgressIsNotAwaitedLonger)
{
  follower.OnNewerKnown(kStart);
  for (int i = 1; i <= 10; ++i)
    follower.OnPeerReceiving(1000, kStart + 100ms);
  BOOST_TEST(Ask(kStart + 901ms) != "dc0-vm0");
}

/** A reader that can't reach the store gets the configuration from a peer. */
BOOST_AUTO_TEST_CASE(AReaderWithoutTheStoreTakesTurnsWithPeers)
{
  ConfigurationSources reader = SourcesOf(members[0], members);
  BOOST_TEST(!reader.Choose(kStart).has_value());
  reader.OnStoreFailed();
  BOOST_TEST(reader.Choose(kStart).has_value());
  BOOST_TEST(!reader.Choose(kStart).has_value());
  BOOST_TEST(reader.Choose(kStart).has_value());
  reader.OnStoreAnswered();
  BOOST_TEST(!reader.Choose(kStart).has_value());
}

/**
 * Guards against all nodes of a region reading the store at the same moment
 * when their readers fail.
 */
BOOST_AUTO_TEST_CASE(NodesTurnToTheStoreInCohorts)
{
  const auto fleet = MakeMembers(50);
  std::vector<ConfigurationSources> region;
  for (const Member& member : fleet) {
    if (member.region != "even")
      continue;
    ConfigurationSources sources = SourcesOf(member, fleet);
    if (!sources.IsReader())
      region.push_back(sources);
  }
  for (ConfigurationSources& sources : region)
    sources.OnNewerKnown(kStart);
  const Core::Instant impatientAt = kStart + ConfigurationSources::kPatience;
  BOOST_TEST(StoreReaders(region, kStart) == 0U);
  std::size_t before = 0;
  for (int cohort = 0; cohort < 7; ++cohort) {
    const std::size_t count = StoreReaders(
      region, impatientAt + cohort * ConfigurationSources::kCohortDelay);
    BOOST_TEST(count <= ConfigurationSources::kFirstCohort << cohort);
    BOOST_TEST(count > before);
    before = count;
  }
  BOOST_TEST(StoreReaders(region, impatientAt + 3s) == region.size());
}

BOOST_AUTO_TEST_SUITE_END()
