#include <LibMembership/FleetView.h>

#include <LibWire/FieldReader.h>

#include <algorithm>
#include <limits>
#include <set>

namespace Membership {

namespace {

constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
/** Upper bound of a database's slots and of its connections. */
constexpr std::int64_t kMaxSlots = 10'000;

Wire::Address
ReadAddress(Wire::FieldReader& aReader,
            std::string_view aKey,
            Core::Findings& aFindings)
{
  Core::LastReason reason;
  const auto address = Wire::Address::Parse(aReader.String(aKey), reason);
  if (!address)
    aFindings.Add(std::string(aKey), reason.Text());
  return address.value_or(Wire::Address{});
}

VmState
ReadState(Wire::FieldReader& aReader, Core::Findings& aFindings)
{
  const auto state = kVmStateNames.ValueOf(aReader.String("state"));
  if (!state)
    aFindings.Add("state", "must be live or leaving");
  return state.value_or(VmState::Live);
}

Member
ReadMember(const boost::json::object& aObject, Core::Findings& aFindings)
{
  Wire::FieldReader reader(aObject, aFindings);
  Member member;
  member.name = reader.String("name");
  member.dataCentre = reader.String("data_centre");
  member.callers = ReadAddress(reader, "callers", aFindings);
  member.peers = ReadAddress(reader, "peers", aFindings);
  member.operators = ReadAddress(reader, "operators", aFindings);
  member.agent = ReadAddress(reader, "agent", aFindings);
  member.state = ReadState(reader, aFindings);
  return member;
}

Database
ReadDatabase(const boost::json::object& aObject, Core::Findings& aFindings)
{
  Wire::FieldReader reader(aObject, aFindings);
  Database database;
  database.name = reader.String("name");
  database.group = reader.String("group");
  database.dataCentre = reader.String("data_centre");
  database.address = ReadAddress(reader, "address", aFindings);
  database.slots = reader.Integer("slots", 1, kMaxSlots);
  database.connections = reader.Integer("connections", 1, kMaxSlots);
  database.state = ReadState(reader, aFindings);
  return database;
}

boost::json::object
DatabaseToJson(const Database& aDatabase)
{
  return { { "name", aDatabase.name },
           { "group", aDatabase.group },
           { "data_centre", aDatabase.dataCentre },
           { "address", aDatabase.address.ToText() },
           { "slots", aDatabase.slots },
           { "connections", aDatabase.connections },
           { "state", kVmStateNames.NameOf(aDatabase.state) } };
}

template<typename Item, typename Reader>
std::vector<Item>
ReadList(Wire::FieldReader& aReader,
         std::string_view aKey,
         Core::Findings& aFindings,
         Reader aReadItem)
{
  std::vector<Item> items;
  const boost::json::array* array = aReader.OptionalArray(aKey);
  if (array == nullptr)
    return items;
  for (const boost::json::value& value : *array) {
    if (const boost::json::object* object = value.if_object())
      items.push_back(aReadItem(*object, aFindings));
    else
      aFindings.Add(std::string(aKey), "must hold objects");
  }
  return items;
}

template<typename Item, typename Writer>
boost::json::array
WriteList(const std::vector<Item>& aItems, Writer aWriteItem)
{
  boost::json::array array;
  for (const Item& item : aItems)
    array.push_back(aWriteItem(item));
  return array;
}

} // namespace

boost::json::object
ToJson(const Member& aMember)
{
  return { { "name", aMember.name },
           { "data_centre", aMember.dataCentre },
           { "callers", aMember.callers.ToText() },
           { "peers", aMember.peers.ToText() },
           { "operators", aMember.operators.ToText() },
           { "agent", aMember.agent.ToText() },
           { "state", kVmStateNames.NameOf(aMember.state) } };
}

std::optional<Member>
MemberFromJson(const boost::json::value& aValue, Core::LastReason& aReason)
{
  Core::Findings findings;
  if (!aValue.is_object())
    return aReason.Set("a member must be an object");
  const Member member = ReadMember(aValue.get_object(), findings);
  if (!findings.IsEmpty())
    return aReason.Set(findings.ToText());
  return member;
}

std::optional<VmList>
VmList::FromJson(const boost::json::value& aValue, Core::LastReason& aReason)
{
  if (!aValue.is_object())
    return aReason.Set("the VM list must be an object");
  Core::Findings findings;
  Wire::FieldReader reader(aValue.get_object(), findings);
  VmList list;
  list.members = ReadList<Member>(reader, "members", findings, ReadMember);
  list.databases =
    ReadList<Database>(reader, "databases", findings, ReadDatabase);
  if (!findings.IsEmpty())
    return aReason.Set(findings.ToText());
  return list;
}

boost::json::object
VmList::ToJson() const
{
  return { { "members",
             WriteList(members,
                       [](const Member& aMember) {
                         return Membership::ToJson(aMember);
                       }) },
           { "databases", WriteList(databases, DatabaseToJson) } };
}

std::optional<FleetView>
FleetView::FromJson(const boost::json::value& aValue, Core::LastReason& aReason)
{
  auto list = VmList::FromJson(aValue, aReason);
  if (!list)
    return std::nullopt;
  Core::Findings findings;
  Wire::FieldReader reader(aValue.get_object(), findings);
  FleetView view;
  view.revision =
    static_cast<std::uint64_t>(reader.Integer("revision", 0, kMaxInt64));
  view.agent = reader.String("agent");
  view.isCurrent = reader.Boolean("is_current", false);
  view.configuration.version = static_cast<std::uint64_t>(
    reader.Integer("configuration_version", 0, kMaxInt64));
  view.configuration.text = reader.String("configuration_text");
  view.members = std::move(list->members);
  view.databases = std::move(list->databases);
  if (!findings.IsEmpty())
    return aReason.Set(findings.ToText());
  return view;
}

boost::json::object
FleetView::ToJson() const
{
  boost::json::object body = VmList{ members, databases }.ToJson();
  body["revision"] = revision;
  body["agent"] = agent;
  body["is_current"] = isCurrent;
  body["configuration_version"] = configuration.version;
  body["configuration_text"] = configuration.text;
  return body;
}

const Member*
FleetView::FindMember(const std::string& aName) const
{
  const auto found = std::find_if(
    members.begin(), members.end(), [&aName](const Member& aMember) {
      return aMember.name == aName;
    });
  return found == members.end() ? nullptr : &*found;
}

std::vector<const Database*>
FleetView::DatabasesOf(const std::string& aGroup) const
{
  std::vector<const Database*> result;
  for (const Database& database : databases) {
    if (database.group == aGroup)
      result.push_back(&database);
  }
  return result;
}

std::vector<std::string>
FleetView::Groups() const
{
  std::set<std::string> groups;
  for (const Database& database : databases)
    groups.insert(database.group);
  return { groups.begin(), groups.end() };
}

} // namespace Membership
