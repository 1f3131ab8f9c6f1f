#include <LibConfiguration/ConfigurationStore.h>

#include <LibWire/FieldReader.h>

#include <limits>
#include <utility>

namespace Configuration {

using Platform::CommitOutcome;
using Platform::TableRow;
using Platform::TableTransaction;

namespace {

constexpr const char* kCurrentKey = "configuration/present";
constexpr const char* kChangePrefix = "configuration/change/";
constexpr const char* kAuditPrefix = "audit/";
constexpr int kMaxAttempts = 4;
constexpr std::size_t kAuditTimeDigits = 15;

Membership::Configuration
ConfigurationFrom(const boost::json::value& aValue)
{
  Membership::Configuration configuration;
  Core::Findings findings;
  if (!aValue.is_object())
    return configuration;
  Wire::FieldReader reader(aValue.get_object(), findings);
  configuration.version = static_cast<std::uint64_t>(
    reader.Integer("version", 0, std::numeric_limits<std::int64_t>::max()));
  configuration.text = reader.String("text");
  return configuration;
}

boost::json::object
ToJson(const Membership::Configuration& aConfiguration)
{
  return { { "version", aConfiguration.version },
           { "text", aConfiguration.text } };
}

bool
Apply(const ChangeOrder& aOrder,
      Settings::FleetSettings& aSettings,
      Core::Findings& aFindings)
{
  switch (aOrder.kind) {
    case EditKind::SetDefault:
      aSettings.SetDefault(aOrder.name, aOrder.value);
      return true;
    case EditKind::SetException:
      aSettings.SetException(aOrder.exception);
      return true;
    case EditKind::RemoveException:
      if (aSettings.RemoveException(aOrder.name))
        return true;
      aFindings.Add("/name", "there is no exception \"" + aOrder.name + '"');
      return false;
  }
  return false;
}

/** Returns aText with aOrder applied, or adds to aFindings. */
std::optional<std::string>
Edit(const std::string& aText,
     const ChangeOrder& aOrder,
     Core::Findings& aFindings)
{
  auto settings =
    Settings::FleetSettings::Parse(aText, "configuration", aFindings);
  if (!settings || !Apply(aOrder, *settings, aFindings))
    return std::nullopt;
  std::string text = settings->ToIni();
  if (!Settings::FleetSettings::Parse(text, "the change", aFindings))
    return std::nullopt;
  return text;
}

/** An INI value is one line, so a line break in it could add settings. */
void
CheckOneLine(const std::string& aPlace,
             const std::string& aText,
             Core::Findings& aFindings)
{
  if (aText.find_first_of("\r\n") != std::string::npos)
    aFindings.Add(aPlace, "must be one line");
}

} // namespace

std::optional<ChangeOrder>
ChangeOrder::FromJson(const boost::json::object& aObject,
                      Core::Findings& aFindings)
{
  Wire::FieldReader reader(aObject, aFindings);
  ChangeOrder order;
  order.id = reader.String("change_id");
  order.basedOn = static_cast<std::uint64_t>(
    reader.Integer("based_on", 0, std::numeric_limits<std::int64_t>::max()));
  order.reason = reader.String("reason");
  order.author = reader.OptionalString("author").value_or("");
  const auto kind = kEditKindNames.ValueOf(reader.String("edit"));
  if (!kind)
    aFindings.Add("/edit", "must be set, except or unexcept");
  order.kind = kind.value_or(EditKind::SetDefault);
  order.name = reader.String("name");
  order.value = reader.OptionalString("value").value_or("");
  if (order.kind == EditKind::SetException) {
    std::string problem;
    const auto scope = Settings::ParseScope(reader.String("scope"), problem);
    if (!scope)
      aFindings.Add("/scope", problem);
    order.exception = { order.name,
                        scope.value_or(Settings::Scope{}),
                        reader.String("key"),
                        order.value,
                        order.reason };
  }
  reader.RejectUnknownFields();
  if (order.reason.empty())
    aFindings.Add("/reason",
                  "must not be empty: every change requires a reason");
  if (order.id.empty() || order.id.find('/') != std::string::npos)
    aFindings.Add("/change_id", "must not be empty or contain a slash");
  CheckOneLine("/reason", order.reason, aFindings);
  CheckOneLine("/name", order.name, aFindings);
  CheckOneLine("/value", order.value, aFindings);
  if (!aFindings.IsEmpty())
    return std::nullopt;
  return order;
}

std::string
ChangeOrder::Summary() const
{
  switch (kind) {
    case EditKind::SetDefault:
      return "set " + name + " = " + value;
    case EditKind::SetException:
      return "except " + name + ": " + exception.key + " = " + value + " for " +
             Settings::ScopeToText(exception.scope);
    case EditKind::RemoveException:
      return "unexcept " + name;
  }
  return "";
}

/** The progress of one change. */
struct ConfigurationStore::Attempt
{
  ChangeOrder order;
  ChangeCallback callback;
  ChangeResult result;
  int tries = 0;
};

ConfigurationStore::ConfigurationStore(
  Platform::TableService& aTable,
  std::function<std::int64_t()> aWallClockMs)
  : table_(aTable)
  , wallClockMs_(std::move(aWallClockMs))
{
}

std::string
ConfigurationStore::AuditKey(const std::string& aKeyEnd) const
{
  std::string time = std::to_string(wallClockMs_());
  // Keys are ordered as text, so the time has a fixed width.
  time.insert(
    0, kAuditTimeDigits - std::min(kAuditTimeDigits, time.size()), '0');
  return kAuditPrefix + time + '-' + aKeyEnd;
}

void
ConfigurationStore::Load(
  std::function<void(std::optional<Membership::Configuration>)> aCallback)
{
  table_.Read(kCurrentKey,
              [callback = std::move(aCallback)](
                const std::optional<std::vector<TableRow>>& aRows) {
                if (!aRows || aRows->empty())
                  callback(std::nullopt);
                else
                  callback(ConfigurationFrom(aRows->front().value));
              });
}

void
ConfigurationStore::CreateInitialVersion(const std::string& aText,
                                         std::function<void()> aCallback)
{
  TableTransaction transaction;
  transaction.conditions = { { kCurrentKey, 0 } };
  transaction.puts = { { kCurrentKey, ToJson({ 1, aText }) },
                       { AuditKey("configuration-1"),
                         boost::json::object{
                           { "time_ms", wallClockMs_() },
                           { "what", "configuration" },
                           { "version", 1 },
                           { "change", "the defaults" },
                           { "reason", "the fleet's first start" } } } };
  table_.Commit(transaction, [callback = std::move(aCallback)](CommitOutcome) {
    callback();
  });
}

void
ConfigurationStore::Change(const ChangeOrder& aOrder, ChangeCallback aCallback)
{
  auto attempt = std::make_shared<Attempt>();
  attempt->order = aOrder;
  attempt->callback = std::move(aCallback);
  TryChange(attempt);
}

void
ConfigurationStore::TryChange(const AttemptHandle& aAttempt)
{
  if (++aAttempt->tries > kMaxAttempts) {
    aAttempt->result.end = ChangeEnd::Unavailable;
    aAttempt->result.reason = "the store does not respond; repeat the change "
                              "with the same id to learn its result";
    aAttempt->callback(aAttempt->result);
    return;
  }
  table_.Read(
    kCurrentKey,
    [this, aAttempt](const std::optional<std::vector<TableRow>>& aRows) {
      if (!aRows || aRows->empty())
        TryChange(aAttempt);
      else
        OnCurrentVersion(aAttempt, aRows->front());
    });
}

void
ConfigurationStore::OnCurrentVersion(const AttemptHandle& aAttempt,
                                     const TableRow& aRow)
{
  const Membership::Configuration current = ConfigurationFrom(aRow.value);
  const ChangeOrder& order = aAttempt->order;
  if (current.version != order.basedOn) {
    aAttempt->result.reason =
      "version " + std::to_string(current.version) +
      " is current, but the change is based on version " +
      std::to_string(order.basedOn);
    CheckForOwnChange(aAttempt, ChangeEnd::Conflict);
    return;
  }
  const auto text = Edit(current.text, order, aAttempt->result.findings);
  if (!text) {
    aAttempt->result.end = ChangeEnd::Invalid;
    aAttempt->callback(aAttempt->result);
    return;
  }
  aAttempt->result.configuration = { current.version + 1, *text };
  const boost::json::object record{
    { "time_ms", wallClockMs_() },      { "what", "configuration" },
    { "version", current.version + 1 }, { "change", order.Summary() },
    { "change_id", order.id },          { "reason", order.reason },
    { "author", order.author },
  };
  TableTransaction transaction;
  transaction.conditions = { { kCurrentKey, aRow.version },
                             { kChangePrefix + order.id, 0 } };
  transaction.puts = {
    { kCurrentKey, ToJson(aAttempt->result.configuration) },
    { kChangePrefix + order.id, ToJson(aAttempt->result.configuration) },
    { AuditKey("configuration-" + std::to_string(current.version + 1)), record }
  };
  table_.Commit(transaction, [this, aAttempt](CommitOutcome aEnd) {
    OnCommitEnd(aAttempt, aEnd);
  });
}

void
ConfigurationStore::OnCommitEnd(const AttemptHandle& aAttempt,
                                CommitOutcome aEnd)
{
  switch (aEnd) {
    case CommitOutcome::Committed:
      aAttempt->result.end = ChangeEnd::Accepted;
      aAttempt->callback(aAttempt->result);
      return;
    case CommitOutcome::Conflict:
      aAttempt->result.reason = "another change was committed first";
      CheckForOwnChange(aAttempt, ChangeEnd::Conflict);
      return;
    case CommitOutcome::Refused:
    case CommitOutcome::Unknown:
      // The next attempt recognises by the change's own row whether this commit
      // took effect.
      TryChange(aAttempt);
      return;
  }
}

void
ConfigurationStore::CheckForOwnChange(const AttemptHandle& aAttempt,
                                      ChangeEnd aEndIfAbsent)
{
  table_.Read(kChangePrefix + aAttempt->order.id,
              [this, aAttempt, aEndIfAbsent](
                const std::optional<std::vector<TableRow>>& aRows) {
                if (!aRows || aRows->empty()) {
                  TryChange(aAttempt);
                  return;
                }
                const TableRow& row = aRows->front();
                aAttempt->result.end =
                  row.version > 0 ? ChangeEnd::Accepted : aEndIfAbsent;
                if (row.version > 0)
                  aAttempt->result.configuration = ConfigurationFrom(row.value);
                aAttempt->callback(aAttempt->result);
              });
}

void
ConfigurationStore::Record(const std::string& aKeyEnd,
                           boost::json::object aRecord,
                           std::function<void(bool)> aCallback)
{
  aRecord["time_ms"] = wallClockMs_();
  TableTransaction transaction;
  transaction.puts = { { AuditKey(aKeyEnd), std::move(aRecord) } };
  table_.Commit(transaction,
                [callback = std::move(aCallback)](CommitOutcome aEnd) {
                  callback(aEnd == CommitOutcome::Committed);
                });
}

void
ConfigurationStore::Audit(std::size_t aMaximum,
                          Platform::RowsCallback aCallback)
{
  table_.Scan(kAuditPrefix, aMaximum, std::move(aCallback));
}

} // namespace Configuration
