#include <LibSettings/ProcessSettings.h>

namespace Settings {

namespace {

constexpr std::int64_t kMaxMilliseconds = 3'600'000;
constexpr std::int64_t kMaxProcessors = 1024;

/** A shorter lease can't cover the whole call to promote a database. */
constexpr std::int64_t kMinDutyLeaseMilliseconds = 1600;

/** Twice the interval at which the holder of the failover duty asks. */
constexpr std::int64_t kMinWithdrawalMilliseconds = 1000;

} // namespace

const SettingsTable&
NodeSettingsTable()
{
  static const SettingsTable kTable{
    { "node.name", SettingType::Text, "", 0, 0, "", "This VM's name." },
    { "node.data_centre",
      SettingType::Text,
      "",
      0,
      0,
      "",
      "The data centre that the VM stands in." },
    { "node.processors",
      SettingType::Decimal,
      "cores",
      0,
      kMaxProcessors,
      "1",
      "The processor time that the node may use; more, more work for others." },
    { "listen.clients",
      SettingType::Address,
      "",
      0,
      0,
      "",
      "Where clients connect." },
    { "listen.readiness",
      SettingType::Address,
      "",
      0,
      0,
      "",
      "Where the balancer asks whether the node is ready." },
    { "listen.metrics",
      SettingType::Address,
      "",
      0,
      0,
      "",
      "Where the metrics are served." },
    { "listen.peers",
      SettingType::Address,
      "",
      0,
      0,
      "",
      "Where other nodes connect." },
    { "listen.relay",
      SettingType::Address,
      "",
      0,
      0,
      "",
      "Where other nodes' connections to databases are passed on." },
    { "listen.checkouts",
      SettingType::Address,
      "",
      0,
      0,
      "",
      "Where other nodes use this one's connections to databases; empty: the "
      "port after listen.peers.",
      true },
    { "platform.store",
      SettingType::Address,
      "",
      0,
      0,
      "",
      "The platform's store." },
    { "platform.promotions",
      SettingType::Address,
      "",
      0,
      0,
      "",
      "Where the platform takes orders to promote a database." },
    { "stop.grace_ms",
      SettingType::Integer,
      "ms",
      1,
      kMaxMilliseconds,
      "6000",
      "How long a stop may take." },
    { "authority.lease_ms",
      SettingType::Integer,
      "ms",
      1,
      kMaxMilliseconds,
      "7500",
      "How long a primary may be used without asking whether it still is." },
    { "authority.read_lease_ms",
      SettingType::Integer,
      "ms",
      1,
      kMaxMilliseconds,
      "1200",
      "The same for plain reads, which a former primary doesn't refuse." },
    { "duty.lease_ms",
      SettingType::Integer,
      "ms",
      kMinDutyLeaseMilliseconds,
      kMaxMilliseconds,
      "1600",
      "How long the failover duty is held without being renewed." },
    { "keys.strict_withdrawal",
      SettingType::Boolean,
      "",
      0,
      0,
      "false",
      "Refuse clients' keys without proof that none has been withdrawn; empty: "
      "false.",
      true },
    { "keys.withdrawal_ms",
      SettingType::Integer,
      "ms",
      kMinWithdrawalMilliseconds,
      kMaxMilliseconds,
      "5000",
      "How soon a withdrawn key must be refused, if strict; empty: 5000.",
      true },
  };
  return kTable;
}

} // namespace Settings
