#include "Faults.h"

#include <LibWire/FieldReader.h>

namespace StandIn {

namespace {

constexpr std::int64_t kHourMs = 3'600'000;
constexpr std::int64_t kMaxWrongReplies = 1'000'000;
constexpr const char* kAllPeers = "*";

void
ReadMilliseconds(Wire::FieldReader& aReader,
                 std::string_view aKey,
                 Core::Duration& aTarget)
{
  if (auto value = aReader.OptionalInteger(aKey, 0, kHourMs))
    aTarget = std::chrono::milliseconds(*value);
}

std::set<std::string>
ReadNames(const boost::json::array& aNames,
          const std::string& aPlace,
          Core::Findings& aFindings)
{
  std::set<std::string> names;
  for (const boost::json::value& name : aNames) {
    if (name.is_string())
      names.emplace(name.get_string());
    else
      aFindings.Add(aPlace, "must contain only strings");
  }
  return names;
}

} // namespace

void
Faults::Silence(const OpenConnections& aOpen,
                const std::set<std::string>& aNames)
{
  for (const auto& [connection, sender] : aOpen) {
    if (aNames.empty() || aNames.contains(sender))
      silent_.insert(connection);
  }
}

void
Faults::Set(const std::string& aBody,
            const OpenConnections& aOpen,
            Core::Findings& aFindings)
{
  const auto body = Wire::ParseObject(aBody, aFindings);
  if (!body)
    return;
  Faults changed = *this;
  Wire::FieldReader reader(*body, aFindings);
  if (reader.Boolean("clear", false))
    changed = Faults{};
  if (const auto* names = reader.OptionalArray("isolated_from"))
    changed.isolatedFrom_ = ReadNames(*names, "/isolated_from", aFindings);
  if (auto direction = reader.OptionalString("direction")) {
    if (auto value = kCutDirectionNames.ValueOf(*direction))
      changed.direction_ = *value;
    else
      aFindings.Add("/direction", "must be in, out or both");
  }
  std::set<std::string> silenceOf;
  if (const auto* names = reader.OptionalArray("silence_of"))
    silenceOf = ReadNames(*names, "/silence_of", aFindings);
  if (auto silence = reader.OptionalString("silence")) {
    if (*silence == "open")
      changed.Silence(aOpen, silenceOf);
    else if (*silence == "none")
      changed.silent_.clear();
    else
      aFindings.Add("/silence", "must be open or none");
  }
  ReadMilliseconds(reader, "lag_ms", changed.replicationLag_);
  ReadMilliseconds(reader, "slow_ms", changed.executionDelay_);
  ReadMilliseconds(reader, "late_ms", changed.replyDelay_);
  if (auto count = reader.OptionalInteger("wrong_answers", 0, kMaxWrongReplies))
    changed.wrongRepliesLeft_ = *count;
  reader.RejectUnknownFields();
  if (aFindings.IsEmpty())
    *this = changed;
}

bool
Faults::IsIsolated(const std::string& aPeer) const
{
  // A request without a sender comes from a test or an operator's tool, which
  // isolation must not cut off.
  if (aPeer.empty())
    return false;
  return isolatedFrom_.contains(kAllPeers) || isolatedFrom_.contains(aPeer);
}

bool
Faults::DropsRequest(const std::string& aSender,
                     Wire::ConnectionNumber aConnection) const
{
  if (silent_.contains(aConnection))
    return true;
  return IsIsolated(aSender) && direction_ != CutDirection::Out;
}

bool
Faults::DropsReply(const std::string& aSender,
                   Wire::ConnectionNumber aConnection) const
{
  if (silent_.contains(aConnection))
    return true;
  return IsIsolated(aSender) && direction_ != CutDirection::In;
}

bool
Faults::ConsumeWrongReply()
{
  if (wrongRepliesLeft_ == 0)
    return false;
  --wrongRepliesLeft_;
  return true;
}

} // namespace StandIn
