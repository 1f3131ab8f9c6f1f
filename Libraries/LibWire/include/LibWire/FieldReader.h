#pragma once

#include <LibCore/Findings.h>

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Wire {

/**
 * Reads the fields of one JSON object and collects what is wrong with them.
 * Each finding's place is a JSON pointer, such as "/params".
 */
class FieldReader
{
public:
  FieldReader(const boost::json::object& aObject,
              Core::Findings& aFindings,
              std::string aPlace = "");

  std::string String(std::string_view aKey);
  std::optional<std::string> OptionalString(std::string_view aKey);
  std::int64_t Integer(std::string_view aKey,
                       std::int64_t aLeast,
                       std::int64_t aMost);
  std::optional<std::int64_t> OptionalInteger(std::string_view aKey,
                                              std::int64_t aLeast,
                                              std::int64_t aMost);
  bool Boolean(std::string_view aKey, bool aDefault);
  /** An array, or null with a finding when there is something else. */
  const boost::json::array* OptionalArray(std::string_view aKey);
  const boost::json::object* Object(std::string_view aKey);
  const boost::json::object* OptionalObject(std::string_view aKey);

  /** Where findings go, and the place of the object; for readers of parts. */
  Core::Findings& FindingsOf() { return findings_; }
  const std::string& Place() const { return place_; }

  /** Reports every field that was not asked for. */
  void RejectOthers();

private:
  const boost::json::value* Find(std::string_view aKey);
  void Report(std::string_view aKey, std::string aText);
  void ReportMissing(std::string_view aKey, std::string_view aType);

  const boost::json::object& object_;
  Core::Findings& findings_;
  std::string place_;
  std::set<std::string, std::less<>> asked_;
};

/** Parses a body that must be one JSON object; reports where it breaks. */
std::optional<boost::json::object>
ParseObject(std::string_view aBody, Core::Findings& aFindings);

/** {"error": "...", "findings": [{"place", "text"}]} */
boost::json::object
FindingsToJson(const Core::Findings& aFindings);

} // namespace Wire
