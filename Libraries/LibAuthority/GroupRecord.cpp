#include <LibAuthority/GroupRecord.h>

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace Authority {

namespace {

/** Floors are at most seconds old, so only the latest terms matter. */
constexpr std::size_t kMaxStarts = 16;

boost::json::array
WriteHolders(const std::vector<LogHolder>& aHolders)
{
  boost::json::array list;
  for (const LogHolder& holder : aHolders)
    list.push_back(boost::json::array{ holder.id, holder.startedAt });
  return list;
}

/** Throws if the list is malformed. */
std::vector<LogHolder>
ReadHolders(const boost::json::array& aList)
{
  std::vector<LogHolder> holders;
  for (const auto& item : aList) {
    const boost::json::array& fields = item.as_array();
    holders.push_back({ std::string(fields.at(0).as_string()),
                        fields.at(1).to_number<std::int64_t>() });
  }
  return holders;
}

} // namespace

bool
GroupRecord::IsNewerThan(const GroupRecord& aOther) const
{
  const bool mayBeRestored = !IsOfCurrentEra() || !aOther.IsOfCurrentEra();
  if (mayBeRestored && basis != aOther.basis)
    return basis > aOther.basis;
  return version > aOther.version;
}

void
GroupRecord::Complete(std::string aPrimary,
                      Session::Term aTerm,
                      std::uint64_t aPosition)
{
  primary = std::move(aPrimary);
  term = aTerm;
  change.reset();
  starts.push_back({ aTerm, aPosition });
  if (starts.size() > kMaxStarts)
    starts.erase(starts.begin());
}

std::string
GroupRecord::ToText() const
{
  boost::json::object json{ { "term", term },
                            { "primary", primary },
                            { "basis", basis } };
  if (change) {
    json["candidate"] = change->candidate;
    json["voluntary"] = change->isSwitchover;
  }
  boost::json::array list;
  for (const TermStart& start : starts)
    list.push_back(boost::json::array{ start.term, start.position });
  json["starts"] = std::move(list);
  if (syncReplicas > 0) {
    json["sync"] = syncReplicas;
    json["holders"] = WriteHolders(logHolders);
  }
  return boost::json::serialize(json);
}

std::optional<GroupRecord>
GroupRecord::Parse(std::string_view aGroup,
                   std::string_view aText,
                   Core::LastReason& aReason)
{
  GroupRecord record;
  record.group = aGroup;
  try {
    const boost::json::value json = boost::json::parse(aText);
    const boost::json::object& fields = json.as_object();
    record.term = fields.at("term").to_number<Session::Term>();
    record.primary = fields.at("primary").as_string();
    if (const auto* candidate = fields.if_contains("candidate"))
      record.change = PrimaryChange{ std::string(candidate->as_string()) };
    // Records written by earlier releases lack this field.
    const auto* voluntary = fields.if_contains("voluntary");
    if (record.change && voluntary != nullptr)
      record.change->isSwitchover = voluntary->as_bool();
    if (const auto* basis = fields.if_contains("basis"))
      record.basis = basis->to_number<std::uint64_t>();
    for (const auto& start : fields.at("starts").as_array())
      record.starts.push_back(
        { start.as_array().at(0).to_number<Session::Term>(),
          start.as_array().at(1).to_number<std::uint64_t>() });
    if (const auto* sync = fields.if_contains("sync"))
      record.syncReplicas = sync->to_number<int>();
    if (const auto* holders = fields.if_contains("holders"))
      record.logHolders = ReadHolders(holders->as_array());
  } catch (const std::exception& error) {
    return aReason.Set("the stored record of group " + record.group +
                       " is invalid: " + error.what());
  }
  return record;
}

Session::LogPosition
ClampToTerms(Session::LogPosition aPosition,
             const std::vector<TermStart>& aStarts)
{
  for (const TermStart& start : aStarts) {
    if (start.term > aPosition.term)
      aPosition.position = std::min(aPosition.position, start.position);
  }
  return aPosition;
}

} // namespace Authority
