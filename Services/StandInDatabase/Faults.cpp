#include "Faults.h"

#include <LibWire/FieldReader.h>

namespace StandIn {

namespace {

constexpr std::int64_t kHourMs = 3'600'000;
constexpr std::int64_t kMostWrongAnswers = 1'000'000;
constexpr const char* kEverybody = "*";

void
TakeMilliseconds(Wire::FieldReader& aReader,
                 std::string_view aKey,
                 Core::Duration& aTarget)
{
  if (auto value = aReader.OptionalInteger(aKey, 0, kHourMs))
    aTarget = std::chrono::milliseconds(*value);
}

} // namespace

void
Faults::Set(const std::string& aBody,
            const std::set<Wire::ConnectionNumber>& aOpen,
            Core::Findings& aFindings)
{
  const auto body = Wire::ParseObject(aBody, aFindings);
  if (!body)
    return;
  Faults changed = *this;
  Wire::FieldReader reader(*body, aFindings);
  if (reader.Boolean("clear", false))
    changed = Faults{};
  if (const auto* names = reader.OptionalArray("isolated_from")) {
    changed.isolatedFrom_.clear();
    for (const boost::json::value& name : *names) {
      if (name.is_string())
        changed.isolatedFrom_.emplace(name.get_string());
      else
        aFindings.Add("/isolated_from", "must hold names only");
    }
  }
  if (auto direction = reader.OptionalString("direction")) {
    if (auto value = kCutDirectionNames.ValueOf(*direction))
      changed.direction_ = *value;
    else
      aFindings.Add("/direction", "must be in, out or both");
  }
  if (auto silence = reader.OptionalString("silence")) {
    if (*silence == "open")
      changed.silent_ = aOpen;
    else if (*silence == "none")
      changed.silent_.clear();
    else
      aFindings.Add("/silence", "must be open or none");
  }
  TakeMilliseconds(reader, "lag_ms", changed.lag_);
  TakeMilliseconds(reader, "slow_ms", changed.slow_);
  TakeMilliseconds(reader, "late_ms", changed.late_);
  if (auto count =
        reader.OptionalInteger("wrong_answers", 0, kMostWrongAnswers))
    changed.wrongAnswers_ = *count;
  reader.RejectOthers();
  if (aFindings.IsEmpty())
    *this = changed;
}

bool
Faults::IsIsolated(const std::string& aPeer) const
{
  // A request without a sender comes from a test or an operator's tool.
  if (aPeer.empty())
    return false;
  return isolatedFrom_.contains(kEverybody) || isolatedFrom_.contains(aPeer);
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
Faults::DropsAnswer(const std::string& aSender,
                    Wire::ConnectionNumber aConnection) const
{
  if (silent_.contains(aConnection))
    return true;
  return IsIsolated(aSender) && direction_ != CutDirection::In;
}

bool
Faults::TakeWrongAnswer()
{
  if (wrongAnswers_ == 0)
    return false;
  --wrongAnswers_;
  return true;
}

} // namespace StandIn
