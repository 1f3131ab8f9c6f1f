#include <LibPooler/SessionValues.h>

#include <algorithm>

namespace Pooler {

namespace {

/** A connection with more prepared statements than this is cleared. */
constexpr std::size_t kMaxPreparedStatements = 256;

/** The same for the bytes of their texts. */
constexpr std::size_t kMaxPreparedBytes = 256UL * 1024;

} // namespace

bool
ChangesState(Sql::CommandKind aKind)
{
  return aKind == Sql::CommandKind::Set || aKind == Sql::CommandKind::Prepare ||
         aKind == Sql::CommandKind::DiscardAll;
}

bool
ConnectionState::HasExtraValues(const Values& aValues) const
{
  return std::any_of(values_.begin(), values_.end(), [&](const auto& aEntry) {
    return !aValues.contains(aEntry.first);
  });
}

bool
ConnectionState::IsFull(const std::string* aPreparedText) const
{
  if (prepared_.size() > kMaxPreparedStatements)
    return true;
  if (aPreparedText == nullptr || prepared_.contains(*aPreparedText))
    return false;
  std::size_t bytes = 0;
  for (const auto& [text, name] : prepared_)
    bytes += text.size();
  return bytes > kMaxPreparedBytes;
}

bool
ConnectionState::Fits(const Values& aValues,
                      const std::string* aPreparedText) const
{
  return !isUnknown_ && values_ == aValues &&
         (aPreparedText == nullptr || prepared_.contains(*aPreparedText));
}

std::vector<Sql::DatabaseCommand>
ConnectionState::Prepare(const Values& aValues,
                         const std::string* aPreparedText)
{
  std::vector<Sql::DatabaseCommand> commands;
  if (isUnknown_ || HasExtraValues(aValues) || IsFull(aPreparedText)) {
    commands.push_back({ .kind = Sql::CommandKind::DiscardAll });
    values_.clear();
    prepared_.clear();
    isUnknown_ = false;
  }
  for (const auto& [name, value] : aValues) {
    const auto held = values_.find(name);
    if (held != values_.end() && held->second == value)
      continue;
    commands.push_back({ .kind = Sql::CommandKind::Set,
                         .requestId = {},
                         .text = {},
                         .name = name,
                         .argument = value });
    values_[name] = value;
  }
  if (aPreparedText != nullptr && !prepared_.contains(*aPreparedText)) {
    std::string name("m");
    name += std::to_string(++lastName_);
    commands.push_back({ .kind = Sql::CommandKind::Prepare,
                         .requestId = {},
                         .text = {},
                         .name = name,
                         .argument = *aPreparedText });
    prepared_[*aPreparedText] = name;
  }
  return commands;
}

std::vector<Sql::DatabaseCommand>
ConnectionState::ResetAndPrepare(const Values& aValues,
                                 const std::string* aPreparedText)
{
  values_.clear();
  prepared_.clear();
  isUnknown_ = false;
  std::vector<Sql::DatabaseCommand> commands = Prepare(aValues, aPreparedText);
  commands.insert(commands.begin(), { .kind = Sql::CommandKind::DiscardAll });
  return commands;
}

void
ConnectionState::Adopt(const Values& aValues,
                       const std::string* aPreparedText,
                       const std::string& aPreparedName,
                       std::uint64_t aLastName)
{
  values_ = aValues;
  prepared_.clear();
  if (aPreparedText != nullptr)
    prepared_[*aPreparedText] = aPreparedName;
  lastName_ = aLastName;
  isUnknown_ = false;
  isChanged_ = false;
}

const std::string&
ConnectionState::NameOf(const std::string& aPreparedText) const
{
  return prepared_.at(aPreparedText);
}

} // namespace Pooler
