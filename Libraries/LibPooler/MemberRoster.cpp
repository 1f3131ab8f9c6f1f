#include <LibPooler/MemberRoster.h>

#include <boost/json.hpp>

namespace Pooler {

namespace {

/** Throws if the field is missing or isn't a string. */
std::optional<Wire::Address>
ReadAddress(const boost::json::object& aFields,
            std::string_view aField,
            Core::LastReason& aReason)
{
  auto address =
    Wire::Address::Parse(std::string(aFields.at(aField).as_string()), aReason);
  if (address && address->port == 0)
    address = aReason.Set("port 0 can't be connected to");
  return address;
}

} // namespace

Authority::StoredRow
MemberRoster::RowOf(const Member& aMember)
{
  const boost::json::object json{
    { "name", aMember.name },
    { "incarnation", aMember.incarnation },
    { "data_centre", aMember.dataCentre },
    { "region", aMember.region },
    { "address", aMember.addresses.peers.ToText() },
    { "relay", aMember.addresses.relay.ToText() },
    { "checkouts", aMember.addresses.checkouts.ToText() },
    { "processors", aMember.processors },
    { "expelled", aMember.isExpelled }
  };
  return { std::string(kKeyPrefix) + aMember.Key(),
           boost::json::serialize(json),
           aMember.version };
}

bool
MemberRoster::Apply(const Authority::StoredRow& aRow, Core::LastReason& aReason)
{
  const std::string key = aRow.key.substr(kKeyPrefix.size());
  if (aRow.value.empty()) {
    members_.erase(key);
    return true;
  }
  Member member;
  member.version = aRow.version;
  try {
    const boost::json::value json = boost::json::parse(aRow.value);
    const boost::json::object& fields = json.as_object();
    member.name = fields.at("name").as_string();
    member.incarnation = fields.at("incarnation").as_string();
    member.dataCentre = fields.at("data_centre").as_string();
    // Nodes of earlier releases don't write their region.
    if (const boost::json::value* region = fields.if_contains("region"))
      member.region = region->as_string();
    member.isExpelled = fields.at("expelled").as_bool();
    const auto peers = ReadAddress(fields, "address", aReason);
    const auto relay = ReadAddress(fields, "relay", aReason);
    const auto checkouts = ReadAddress(fields, "checkouts", aReason);
    if (!peers || !relay || !checkouts)
      return false;
    member.processors = fields.at("processors").to_number<double>();
    member.addresses = { *peers, *relay, *checkouts };
  } catch (const std::exception& error) {
    aReason.Set("the member " + key + " can't be read: " + error.what());
    return false;
  }
  members_[key] = std::move(member);
  return true;
}

const Member*
MemberRoster::Find(const std::string& aKey) const
{
  const auto member = members_.find(aKey);
  return member == members_.end() ? nullptr : &member->second;
}

std::vector<Member>
MemberRoster::Present() const
{
  std::map<std::string_view, const Member*> newest;
  for (const auto& [key, member] : members_) {
    if (member.isExpelled)
      continue;
    const Member*& known = newest[member.name];
    if (known == nullptr || known->version < member.version)
      known = &member;
  }
  std::vector<Member> present;
  present.reserve(newest.size());
  for (const auto& [name, member] : newest)
    present.push_back(*member);
  return present;
}

std::set<std::string>
MemberRoster::RunningProcesses() const
{
  // The row of an ended process may have been marked as expelled after its
  // successor has registered, so only the successor's row tells.
  std::map<std::string, std::uint64_t> newest;
  for (const Member& member : Present())
    newest[member.name] = member.version;
  std::set<std::string> running;
  for (const auto& [key, member] : members_) {
    const auto successor = newest.find(member.name);
    if (successor == newest.end() || member.version >= successor->second)
      running.insert(key);
  }
  return running;
}

} // namespace Pooler
