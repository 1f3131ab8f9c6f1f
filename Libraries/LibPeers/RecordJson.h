#pragma once

#include <LibAuthority/GroupRecord.h>
#include <LibWire/FieldReader.h>

#include <limits>
#include <optional>

namespace Peers {

/** Encodes a group's record with the version of its row in the store. */
inline boost::json::object
ToJson(const Authority::GroupRecord& aRecord)
{
  return { { "group", aRecord.group },
           { "version", aRecord.version },
           { "record", aRecord.ToText() } };
}

/** Reads what ToJson encodes; adds a finding and returns none if it can't. */
inline std::optional<Authority::GroupRecord>
ReadRecord(Wire::FieldReader& aReader)
{
  const std::string group = aReader.String("group");
  const std::string text = aReader.String("record");
  const auto version = aReader.OptionalInteger(
    "version", 0, std::numeric_limits<std::int64_t>::max());
  Core::LastReason reason;
  auto record = Authority::GroupRecord::Parse(group, text, reason);
  if (!record)
    aReader.FindingsOf().Add(aReader.Place() + "/record", reason.Text());
  if (!version)
    aReader.FindingsOf().Add(aReader.Place() + "/version", "must be known");
  if (!record || !version)
    return std::nullopt;
  record->version = static_cast<std::uint64_t>(*version);
  return record;
}

} // namespace Peers
