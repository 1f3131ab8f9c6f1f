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
 * Reads the fields of one JSON object and collects a finding for each invalid
 * field. The place of a finding is a JSON pointer, such as "/params".
 */
class FieldReader
{
public:
  /** aPlace is the JSON pointer of aObject; findings are added to aFindings. */
  FieldReader(const boost::json::object& aObject,
              Core::Findings& aFindings,
              std::string aPlace = "");

  /** Returns the field, or "" with a finding if it is missing or invalid. */
  std::string String(std::string_view aKey);
  std::optional<std::string> OptionalString(std::string_view aKey);
  /** Returns the field, or aMinimum with a finding if missing or invalid. */
  std::int64_t Integer(std::string_view aKey,
                       std::int64_t aMinimum,
                       std::int64_t aMaximum);
  std::optional<std::int64_t> OptionalInteger(std::string_view aKey,
                                              std::int64_t aMinimum,
                                              std::int64_t aMaximum);
  /** A number of any kind; for fields of which only the type matters. */
  std::optional<double> OptionalNumber(std::string_view aKey);
  bool Boolean(std::string_view aKey, bool aDefault);
  /** Returns nullptr if missing or, with a finding, not an array. */
  const boost::json::array* OptionalArray(std::string_view aKey);
  const boost::json::object* Object(std::string_view aKey);
  const boost::json::object* OptionalObject(std::string_view aKey);

  /** The findings and place of this object, for readers of nested values. */
  Core::Findings& FindingsOf() { return findings_; }
  const std::string& Place() const { return place_; }

  /** Adds a finding for every field that has not been read. */
  void RejectUnknownFields();

private:
  const boost::json::value* Find(std::string_view aKey);
  void Report(std::string_view aKey, std::string aText);
  void ReportMissing(std::string_view aKey, std::string_view aType);

  const boost::json::object& object_;
  Core::Findings& findings_;
  std::string place_;
  std::set<std::string, std::less<>> readKeys_;
};

/**
 * Parses a body that must be one JSON object. On failure, adds a finding with
 * the byte offset of a syntax error.
 */
std::optional<boost::json::object>
ParseObject(std::string_view aBody, Core::Findings& aFindings);

/** Returns {"error": "...", "findings": [{"place", "text"}]}. */
boost::json::object
FindingsToJson(const Core::Findings& aFindings);

} // namespace Wire
