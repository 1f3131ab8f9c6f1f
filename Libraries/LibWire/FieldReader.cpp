#include <LibWire/FieldReader.h>

#include <utility>

namespace Wire {

FieldReader::FieldReader(const boost::json::object& aObject,
                         Core::Findings& aFindings,
                         std::string aPlace)
  : object_(aObject)
  , findings_(aFindings)
  , place_(std::move(aPlace))
{
}

const boost::json::value*
FieldReader::Find(std::string_view aKey)
{
  readKeys_.emplace(aKey);
  const boost::json::value* value = object_.if_contains(aKey);
  return value != nullptr && value->is_null() ? nullptr : value;
}

void
FieldReader::Report(std::string_view aKey, std::string aText)
{
  findings_.Add(place_ + '/' + std::string(aKey), std::move(aText));
}

void
FieldReader::ReportMissing(std::string_view aKey, std::string_view aType)
{
  Report(aKey, "is missing; it must be " + std::string(aType));
}

std::string
FieldReader::String(std::string_view aKey)
{
  const std::size_t before = findings_.List().size();
  auto value = OptionalString(aKey);
  if (!value && findings_.List().size() == before)
    ReportMissing(aKey, "a string");
  return value.value_or("");
}

std::optional<std::string>
FieldReader::OptionalString(std::string_view aKey)
{
  const boost::json::value* value = Find(aKey);
  if (value == nullptr)
    return std::nullopt;
  if (!value->is_string()) {
    Report(aKey, "must be a string");
    return std::nullopt;
  }
  return std::string(value->get_string());
}

std::int64_t
FieldReader::Integer(std::string_view aKey,
                     std::int64_t aMinimum,
                     std::int64_t aMaximum)
{
  const std::size_t before = findings_.List().size();
  auto value = OptionalInteger(aKey, aMinimum, aMaximum);
  if (!value && findings_.List().size() == before)
    ReportMissing(aKey, "a whole number");
  return value.value_or(aMinimum);
}

std::optional<std::int64_t>
FieldReader::OptionalInteger(std::string_view aKey,
                             std::int64_t aMinimum,
                             std::int64_t aMaximum)
{
  const boost::json::value* value = Find(aKey);
  if (value == nullptr)
    return std::nullopt;
  boost::system::error_code error;
  const auto number = value->to_number<std::int64_t>(error);
  if (error || number < aMinimum || number > aMaximum) {
    Report(aKey,
           "must be a whole number from " + std::to_string(aMinimum) + " to " +
             std::to_string(aMaximum));
    return std::nullopt;
  }
  return number;
}

std::optional<double>
FieldReader::OptionalNumber(std::string_view aKey)
{
  const boost::json::value* value = Find(aKey);
  if (value == nullptr)
    return std::nullopt;
  boost::system::error_code error;
  const auto number = value->to_number<double>(error);
  if (!error)
    return number;
  Report(aKey, "must be a number");
  return std::nullopt;
}

bool
FieldReader::Boolean(std::string_view aKey, bool aDefault)
{
  const boost::json::value* value = Find(aKey);
  if (value == nullptr)
    return aDefault;
  if (value->is_bool())
    return value->get_bool();
  Report(aKey, "must be true or false");
  return aDefault;
}

const boost::json::array*
FieldReader::OptionalArray(std::string_view aKey)
{
  const boost::json::value* value = Find(aKey);
  if (value == nullptr)
    return nullptr;
  if (!value->is_array())
    Report(aKey, "must be an array");
  return value->if_array();
}

const boost::json::object*
FieldReader::OptionalObject(std::string_view aKey)
{
  const boost::json::value* value = Find(aKey);
  if (value == nullptr)
    return nullptr;
  if (!value->is_object())
    Report(aKey, "must be an object");
  return value->if_object();
}

const boost::json::object*
FieldReader::Object(std::string_view aKey)
{
  const boost::json::object* value = OptionalObject(aKey);
  if (value == nullptr && object_.if_contains(aKey) == nullptr)
    ReportMissing(aKey, "an object");
  return value;
}

void
FieldReader::RejectUnknownFields()
{
  for (const auto& field : object_) {
    if (!readKeys_.contains(std::string_view(field.key())))
      Report(field.key(), "is not a field of this request");
  }
}

std::optional<boost::json::object>
ParseObject(std::string_view aBody, Core::Findings& aFindings)
{
  boost::json::stream_parser parser;
  boost::system::error_code error;
  const std::size_t used = parser.write_some(aBody, error);
  if (!error)
    parser.finish(error);
  if (!error && used < aBody.size())
    error = boost::json::error::extra_data;
  if (error) {
    aFindings.Add("body, byte " + std::to_string(used),
                  "is not JSON: " + error.message());
    return std::nullopt;
  }
  boost::json::value value = parser.release();
  if (!value.is_object()) {
    aFindings.Add("body", "must be a JSON object");
    return std::nullopt;
  }
  return std::move(value.get_object());
}

boost::json::object
FindingsToJson(const Core::Findings& aFindings)
{
  boost::json::array list;
  for (const Core::Finding& finding : aFindings.List())
    list.push_back(boost::json::object{ { "place", finding.place },
                                        { "text", finding.text } });
  return { { "error", aFindings.ToText() }, { "findings", std::move(list) } };
}

} // namespace Wire
