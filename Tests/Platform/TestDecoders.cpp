#define BOOST_TEST_MODULE Decoders
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "Base64.h"
#include "Decoders.h"

#include <LibCore/Random.h>

namespace data = boost::unit_test::data;

namespace {

constexpr const char* kGoodEntry =
  R"({"service":"g1","address":"10.0.0.9:8080","zone":"z1","version":"v1",
      "slots":5,"state":"ready","cold-left-ms":0,"db-role":"follower",
      "seq":4,"born":1700000000000})";

/** Entries that don't describe a usable database. */
const char* const kBadEntries[] = {
  "",
  "not json",
  "[]",
  "{}",
  R"({"service":7,"address":"10.0.0.9:8080","zone":"z","slots":5,"state":"ready"})",
  R"({"service":"g","address":"nowhere","zone":"z","slots":5,"state":"ready"})",
  R"({"service":"g","address":"10.0.0.9:8080","zone":"z","slots":"5","state":"ready"})",
  R"({"service":"g","address":"10.0.0.9:8080","zone":"z","slots":5,"state":"asleep"})",
  R"({"service":"g","address":"10.0.0.9:8080","zone":"z","slots":0,"state":"ready"})",
};

} // namespace

BOOST_AUTO_TEST_CASE(ReadsADatabase)
{
  Core::Findings findings;
  const auto database = Adapter::DecodeDatabase("i-1", kGoodEntry, findings);
  BOOST_REQUIRE(database.has_value());
  BOOST_TEST(database->group == "g1");
  BOOST_TEST(database->host == "10.0.0.9");
  BOOST_TEST(database->port == 8080);
  BOOST_TEST(database->startedAt == 1700000000000LL);
  BOOST_TEST(!database->isLeaving);
}

BOOST_DATA_TEST_CASE(RejectsInvalidEntries, data::make(kBadEntries))
{
  Core::Findings findings;
  BOOST_TEST(!Adapter::DecodeDatabase("i-1", sample, findings).has_value());
  BOOST_TEST(!findings.IsEmpty());
}

BOOST_AUTO_TEST_CASE(ReadsAConfigurationAndSkipsInvalidEntries)
{
  Core::Findings findings;
  const auto configuration = Adapter::DecodeConfiguration(
    R"({"version":7,"routes":[
         {"name":"r1","host":"d1","service":"g1","kind":"leader",
          "timeout-ms":1000,"target-latency-ms":200,"priority":1},
         {"name":"r2","host":"d2","service":"g1","kind":"read_your_writes",
          "timeout-ms":900,"target-latency-ms":200,"max-staleness-ms":2500},
         {"name":"r3","host":"d3","service":"g1","kind":"unheard-of"}, 5],
       "services":[{"name":"g1","max-conns":34},
                   {"name":"g2","max-conns":5,"sync-replicas":1}],
       "limits":{"tx-idle-ms":3000}})",
    findings);
  BOOST_REQUIRE(configuration.has_value());
  BOOST_TEST(configuration->version == 7U);
  BOOST_TEST(configuration->routes.size() == 2U);
  const Pooler::Route& route = configuration->routes.at("d2");
  BOOST_CHECK(route.consistency == Pooler::Consistency::ReadYourWrites);
  BOOST_CHECK(route.maxStaleness == std::chrono::milliseconds(2500));
  BOOST_TEST(configuration->groups.at("g1").maxConnections == 34);
  BOOST_TEST(configuration->groups.at("g1").syncReplicas == 0);
  BOOST_TEST(configuration->groups.at("g2").syncReplicas == 1);
  BOOST_CHECK(configuration->transactionIdleTimeout == std::chrono::seconds(3));
  BOOST_TEST(findings.List().size() == 2U);
}

BOOST_AUTO_TEST_CASE(ReadsCustomersAndTheirKeys)
{
  Core::Findings findings;
  const auto configuration = Adapter::DecodeConfiguration(
    R"({"version":7,"routes":[
         {"name":"r1","host":"d1","service":"g1","kind":"leader",
          "public":true}],
        "tenants":[
         {"name":"c1","api-keys":["k1","k2"],"priority":1,
          "rate-per-s":410.5,"burst":20},
         {"name":"c2","api-keys":["k3",7],"rate-per-s":"many"},
         {"name":"c4 mastichold","api-keys":["k4"]},
         {"name":"c3"}]})",
    findings);
  BOOST_REQUIRE(configuration.has_value());
  BOOST_TEST(configuration->requiresKeys);
  BOOST_TEST(configuration->routes.at("d1").isPublic);
  BOOST_TEST(configuration->customers.size() == 2U);
  const Pooler::Customer& first = configuration->customers.at("c1");
  BOOST_TEST(first.priority == 1);
  BOOST_REQUIRE(first.limit.has_value());
  BOOST_TEST(first.limit->perSecond == 410.5);
  BOOST_TEST(first.limit->burst == 20);
  BOOST_TEST(!configuration->customers.at("c3").limit.has_value());
  BOOST_TEST(configuration->customerOfKey.at("k2") == "c1");
  BOOST_TEST(!configuration->customerOfKey.contains("k3"));
  BOOST_TEST(!configuration->customerOfKey.contains("k4"));
  // Findings are logged, so they must not quote a key.
  BOOST_TEST(!findings.IsEmpty());
  BOOST_TEST(findings.ToText().find("k3") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(RequiresNoKeysWithoutCustomers)
{
  Core::Findings findings;
  const auto configuration =
    Adapter::DecodeConfiguration(R"({"version":7})", findings);
  BOOST_REQUIRE(configuration.has_value());
  BOOST_TEST(!configuration->requiresKeys);
}

BOOST_AUTO_TEST_CASE(RequiresAVersion)
{
  Core::Findings findings;
  BOOST_TEST(!Adapter::DecodeConfiguration(R"({"routes":[]})", findings));
}

BOOST_AUTO_TEST_CASE(Base64RoundTrips)
{
  constexpr std::size_t kLongest = 70;
  Core::Random random(3);
  for (std::size_t length = 0; length < kLongest; ++length) {
    std::string bytes;
    while (bytes.size() < length)
      bytes += static_cast<char>(random.Below(256));
    const auto decoded = Adapter::DecodeBase64(Adapter::EncodeBase64(bytes));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(*decoded == bytes);
  }
  BOOST_TEST(Adapter::EncodeBase64("node-1") == "bm9kZS0x");
}

BOOST_AUTO_TEST_CASE(RejectsInvalidBase64)
{
  BOOST_TEST(!Adapter::DecodeBase64("abc").has_value());
  BOOST_TEST(!Adapter::DecodeBase64("a!cd").has_value());
  BOOST_TEST(!Adapter::DecodeBase64("=abc").has_value());
}
