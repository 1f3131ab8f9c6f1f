#include "CheckoutMessages.h"

#include <LibWire/FieldReader.h>

#include <boost/json.hpp>

#include <limits>
#include <utility>

namespace Peers {

namespace {

constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();

/** Far beyond any slowness that can be learned. */
constexpr std::int64_t kMaxSlowPercent = 1'000'000;

/** Statements are arbitrary bytes, so invalid UTF-8 is allowed. */
boost::json::parse_options
ParseOptions()
{
  boost::json::parse_options options;
  options.allow_invalid_utf8 = true;
  return options;
}

std::optional<boost::json::object>
ParseLine(std::string_view aLine, Core::Findings& aFindings)
{
  boost::system::error_code error;
  boost::json::value value =
    boost::json::parse(boost::json::string_view(aLine.data(), aLine.size()),
                       error,
                       {},
                       ParseOptions());
  if (error || !value.is_object()) {
    aFindings.Add("", error ? error.message() : "must be an object");
    return std::nullopt;
  }
  return std::move(value.as_object());
}

void
SetPosition(boost::json::object& aObject,
            const std::optional<Session::LogPosition>& aPosition)
{
  if (!aPosition)
    return;
  aObject["term"] = aPosition->term;
  aObject["position"] = aPosition->position;
}

std::optional<Session::LogPosition>
ReadPosition(Wire::FieldReader& aReader)
{
  const auto term = aReader.OptionalInteger("term", 0, kMaxInt64);
  const auto position = aReader.OptionalInteger("position", 0, kMaxInt64);
  if (!term || !position)
    return std::nullopt;
  return Session::LogPosition{ static_cast<Session::Term>(*term),
                               static_cast<std::uint64_t>(*position) };
}

/**
 * Reads the name of an enum value. An unknown name adds a finding and gives the
 * first value of aNames.
 */
template<typename Names>
auto
ReadEnum(Wire::FieldReader& aReader,
         const Names& aNames,
         std::string_view aKey,
         Core::Findings& aFindings)
{
  const auto value = aNames.ValueOf(aReader.String(aKey));
  if (!value)
    aFindings.Add(std::string(aKey), "isn't known");
  return value.value_or(aNames.entries.front().first);
}

boost::json::object
ToJson(const Pooler::CheckoutRequest& aRequest)
{
  boost::json::object values;
  for (const auto& [name, value] : aRequest.values)
    values[name] = value;
  boost::json::object json{ { "kind", "request" },
                            { "database", aRequest.database },
                            { "due_us", aRequest.dueIn.count() },
                            { "values", std::move(values) },
                            { "prove", aRequest.mustValidate } };
  if (aRequest.preparedText)
    json["shape"] = *aRequest.preparedText;
  if (!aRequest.customer.empty())
    json["customer"] = aRequest.customer;
  if (aRequest.fitsAnyCustomer)
    json["any_customer"] = true;
  return json;
}

boost::json::object
ToJson(const Sql::DatabaseCommand& aCommand)
{
  boost::json::object json{ { "kind", "command" },
                            { "command",
                              Sql::kCommandKindNames.NameOf(aCommand.kind) },
                            { "request", aCommand.requestId },
                            { "text", aCommand.text },
                            { "name", aCommand.name },
                            { "argument", aCommand.argument } };
  if (aCommand.kind == Sql::CommandKind::StepDown)
    json["step_down_term"] = aCommand.term;
  SetPosition(json, aCommand.minimumPosition);
  return json;
}

boost::json::object
ToJson(const Pooler::CheckoutReturn& aReturn)
{
  return { { "kind", "return" },
           { "clean", aReturn.isClean },
           { "changed", aReturn.isChanged } };
}

boost::json::object
ToJson(const Pooler::SlowDatabases& aSlow)
{
  boost::json::object percents;
  for (const auto& [database, slowness] : aSlow)
    percents[database] = static_cast<std::int64_t>(slowness * 100);
  return percents;
}

boost::json::object
ToJson(const Pooler::CheckoutGrant& aGrant)
{
  boost::json::object json{ { "kind", "grant" },
                            { "shape_name", aGrant.preparedName },
                            { "last_name", aGrant.lastName } };
  SetPosition(json, aGrant.position);
  if (!aGrant.slow.empty())
    json["slow_percent"] = ToJson(aGrant.slow);
  if (aGrant.sample) {
    json["sample_age_us"] = aGrant.sample->age.count();
    json["sample_term"] = aGrant.sample->position.term;
    json["sample_position"] = aGrant.sample->position.position;
  }
  return json;
}

boost::json::object
ToJson(Pooler::CheckoutRefusal aRefusal)
{
  return { { "kind", "refusal" },
           { "reason", Pooler::kCheckoutRefusalNames.NameOf(aRefusal) } };
}

boost::json::object
ToJson(CheckoutWaiting)
{
  return { { "kind", "waiting" } };
}

boost::json::object
ToJson(const Sql::DatabaseReply& aReply)
{
  boost::json::array rows;
  for (const std::string& row : aReply.rows)
    rows.emplace_back(row);
  boost::json::object json{
    { "kind", "reply" },
    { "complete", aReply.isComplete },
    { "rows", std::move(rows) },
    { "signature", aReply.signature },
    { "state", Sql::kTransactionStateNames.NameOf(aReply.state) }
  };
  if (aReply.error) {
    json["error"] = Sql::kErrorCodeNames.NameOf(aReply.error->code);
    json["error_text"] = aReply.error->text;
  }
  SetPosition(json, aReply.position);
  return json;
}

Pooler::CheckoutRequest
ReadRequest(Wire::FieldReader& aReader, Core::Findings& aFindings)
{
  Pooler::CheckoutRequest request;
  request.database = aReader.String("database");
  request.dueIn =
    Core::Duration(aReader.Integer("due_us", -kMaxInt64, kMaxInt64));
  request.preparedText = aReader.OptionalString("shape");
  request.mustValidate = aReader.Boolean("prove", false);
  request.customer = aReader.OptionalString("customer").value_or("");
  request.fitsAnyCustomer = aReader.Boolean("any_customer", false);
  const boost::json::object* values = aReader.Object("values");
  if (values == nullptr)
    return request;
  for (const auto& [name, value] : *values) {
    if (value.is_string())
      request.values[std::string(name)] = std::string(value.as_string());
    else
      aFindings.Add("values", "must be texts");
  }
  return request;
}

Sql::DatabaseCommand
ReadCommand(Wire::FieldReader& aReader, Core::Findings& aFindings)
{
  Sql::DatabaseCommand command;
  command.kind =
    ReadEnum(aReader, Sql::kCommandKindNames, "command", aFindings);
  command.requestId = aReader.String("request");
  command.text = aReader.String("text");
  command.name = aReader.String("name");
  command.argument = aReader.String("argument");
  const auto term = aReader.OptionalInteger("step_down_term", 0, kMaxInt64);
  command.term = static_cast<Session::Term>(term.value_or(0));
  command.minimumPosition = ReadPosition(aReader);
  return command;
}

Pooler::CheckoutReturn
ReadReturn(Wire::FieldReader& aReader)
{
  Pooler::CheckoutReturn result;
  result.isClean = aReader.Boolean("clean", false);
  result.isChanged = aReader.Boolean("changed", true);
  return result;
}

Pooler::SlowDatabases
ReadSlowDatabases(Wire::FieldReader& aReader)
{
  Pooler::SlowDatabases slow;
  const boost::json::object* percents = aReader.OptionalObject("slow_percent");
  if (percents == nullptr)
    return slow;
  Wire::FieldReader reader(
    *percents, aReader.FindingsOf(), aReader.Place() + "/slow_percent");
  for (const auto& [database, value] : *percents)
    slow[database] =
      static_cast<double>(reader.Integer(database, 1, kMaxSlowPercent)) / 100;
  return slow;
}

Pooler::CheckoutGrant
ReadGrant(Wire::FieldReader& aReader)
{
  Pooler::CheckoutGrant grant;
  grant.preparedName = aReader.String("shape_name");
  grant.lastName =
    static_cast<std::uint64_t>(aReader.Integer("last_name", 0, kMaxInt64));
  grant.position = ReadPosition(aReader);
  grant.slow = ReadSlowDatabases(aReader);
  const auto age = aReader.OptionalInteger("sample_age_us", 0, kMaxInt64);
  if (!age)
    return grant;
  grant.sample = Pooler::RelayedSample{
    Core::Duration(*age),
    { static_cast<Session::Term>(aReader.Integer("sample_term", 0, kMaxInt64)),
      static_cast<std::uint64_t>(
        aReader.Integer("sample_position", 0, kMaxInt64)) }
  };
  return grant;
}

Sql::DatabaseReply
ReadReply(Wire::FieldReader& aReader, Core::Findings& aFindings)
{
  Sql::DatabaseReply reply;
  reply.isComplete = aReader.Boolean("complete", false);
  reply.signature = aReader.String("signature");
  reply.state =
    ReadEnum(aReader, Sql::kTransactionStateNames, "state", aFindings);
  reply.position = ReadPosition(aReader);
  if (const auto code = aReader.OptionalString("error"))
    reply.error = Sql::Error{ Sql::kErrorCodeNames.ValueOf(*code).value_or(
                                Sql::ErrorCode::Other),
                              aReader.String("error_text") };
  const boost::json::array* rows = aReader.OptionalArray("rows");
  if (rows == nullptr)
    return reply;
  for (const boost::json::value& row : *rows) {
    if (row.is_string())
      reply.rows.emplace_back(row.as_string());
    else
      aFindings.Add("rows", "must be texts");
  }
  return reply;
}

template<typename Message>
std::string
ToLine(const Message& aMessage)
{
  return std::visit(
    [](const auto& aBody) {
      return boost::json::serialize(ToJson(aBody)) + "\r\n";
    },
    aMessage);
}

/**
 * Decodes a line. aRead receives the message's kind and a reader for its
 * fields, and returns none for an unknown kind. A message with findings is
 * discarded.
 */
template<typename Message, typename Read>
std::optional<Message>
FromLine(std::string_view aLine, Core::Findings& aFindings, Read aRead)
{
  const auto object = ParseLine(aLine, aFindings);
  if (!object)
    return std::nullopt;
  Wire::FieldReader reader(*object, aFindings);
  const std::string kind = reader.String("kind");
  std::optional<Message> message = aRead(kind, reader);
  if (!message)
    aFindings.Add("kind", "isn't known");
  if (!aFindings.IsEmpty())
    return std::nullopt;
  return message;
}

} // namespace

std::string
EncodeToOwner(const MessageToOwner& aMessage)
{
  return ToLine(aMessage);
}

std::string
EncodeFromOwner(const MessageFromOwner& aMessage)
{
  std::string line = ToLine(aMessage);
  const auto* reply = std::get_if<Sql::DatabaseReply>(&aMessage);
  if (reply == nullptr || line.size() <= kMaxCheckoutLineBytes)
    return line;
  Sql::DatabaseReply refusal;
  refusal.isComplete = reply->isComplete;
  refusal.state = reply->state;
  refusal.position = reply->position;
  refusal.error = { Sql::ErrorCode::TooLarge, "the answer is too large" };
  return ToLine(MessageFromOwner(std::move(refusal)));
}

std::optional<MessageToOwner>
DecodeToOwner(std::string_view aLine, Core::Findings& aFindings)
{
  return FromLine<MessageToOwner>(
    aLine,
    aFindings,
    [&aFindings](const std::string& aKind,
                 Wire::FieldReader& aReader) -> std::optional<MessageToOwner> {
      if (aKind == "request")
        return ReadRequest(aReader, aFindings);
      if (aKind == "command")
        return ReadCommand(aReader, aFindings);
      if (aKind == "return")
        return ReadReturn(aReader);
      return std::nullopt;
    });
}

std::optional<MessageFromOwner>
DecodeFromOwner(std::string_view aLine, Core::Findings& aFindings)
{
  return FromLine<MessageFromOwner>(
    aLine,
    aFindings,
    [&aFindings](const std::string& aKind, Wire::FieldReader& aReader)
      -> std::optional<MessageFromOwner> {
      if (aKind == "grant")
        return ReadGrant(aReader);
      if (aKind == "refusal")
        return ReadEnum(
          aReader, Pooler::kCheckoutRefusalNames, "reason", aFindings);
      if (aKind == "waiting")
        return CheckoutWaiting{};
      if (aKind == "reply")
        return ReadReply(aReader, aFindings);
      return std::nullopt;
    });
}

} // namespace Peers
