#pragma once

#include <LibPooler/Peers.h>
#include <LibWire/FieldReader.h>

#include <limits>
#include <optional>
#include <set>
#include <string>

namespace Peers {

/**
 * Encodes the newest row version that a process has seen in each set of store
 * rows, for heartbeats and their responses.
 */
inline boost::json::object
ToJson(const Pooler::SeenVersions& aSeen)
{
  return { { "configuration", aSeen.configuration },
           { "databases", aSeen.databases },
           { "own", aSeen.own } };
}

/**
 * Reads the field "seen". An absent field or version gives 0, which means that
 * the sender has reported nothing.
 */
inline Pooler::SeenVersions
ReadSeenRows(Wire::FieldReader& aReader)
{
  Pooler::SeenVersions seen;
  const boost::json::object* fields = aReader.OptionalObject("seen");
  if (fields == nullptr)
    return seen;
  Wire::FieldReader reader(
    *fields, aReader.FindingsOf(), aReader.Place() + "/seen");
  const auto read = [&reader](std::string_view aKey) {
    const auto version =
      reader.OptionalInteger(aKey, 0, std::numeric_limits<std::int64_t>::max());
    return static_cast<std::uint64_t>(version.value_or(0));
  };
  seen.configuration = read("configuration");
  seen.databases = read("databases");
  seen.own = read("own");
  return seen;
}

/** Reads what the sender states about its configuration; none if absent. */
inline std::optional<Pooler::ProvenConfiguration>
ReadProvenConfiguration(Wire::FieldReader& aReader)
{
  constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
  const auto version =
    aReader.OptionalInteger("configuration_version", 0, kMaxInt64);
  const auto age =
    aReader.OptionalInteger("configuration_age_us", 0, kMaxInt64);
  if (!version || !age)
    return std::nullopt;
  return Pooler::ProvenConfiguration{ static_cast<std::uint64_t>(*version),
                                      Core::Duration(*age) };
}

/** Encodes the names of groups, for responses to heartbeats. */
inline boost::json::array
ToJson(const std::set<std::string>& aGroups)
{
  return boost::json::array(aGroups.begin(), aGroups.end());
}

/**
 * Reads a list of group names; empty if the field is absent. Elements that
 * aren't strings are skipped.
 */
inline std::set<std::string>
ReadGroups(Wire::FieldReader& aReader, std::string_view aKey)
{
  std::set<std::string> groups;
  const boost::json::array* names = aReader.OptionalArray(aKey);
  if (names == nullptr)
    return groups;
  for (const auto& name : *names) {
    if (name.is_string())
      groups.emplace(name.get_string());
  }
  return groups;
}

} // namespace Peers
