#include <LibEndpoint/DatabaseReport.h>

#include <LibWire/FieldReader.h>

#include <limits>

namespace Endpoint {

std::optional<DatabaseReport>
ReportFromJson(const boost::json::object& aObject)
{
  constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
  Core::Findings findings;
  Wire::FieldReader reader(aObject, findings);
  DatabaseReport report;
  report.identity = reader.String("identity");
  report.log.term = static_cast<Term>(reader.Integer("log_term", 0, kMaxInt64));
  report.log.position =
    static_cast<std::uint64_t>(reader.Integer("position", 0, kMaxInt64));
  report.promised = static_cast<Term>(reader.Integer("promised", 0, kMaxInt64));
  report.owner = reader.OptionalString("owner").value_or("");
  report.isPrimary = reader.String("role") == "primary";
  report.isJoining = reader.Boolean("joining", false);
  report.follows = reader.OptionalString("primary").value_or("");
  if (const auto* identities = reader.OptionalObject("identities")) {
    for (const auto& entry : *identities) {
      if (entry.value().is_string())
        report.identities[std::string(entry.key())] =
          entry.value().get_string();
    }
  }
  if (!findings.IsEmpty())
    return std::nullopt;
  return report;
}

} // namespace Endpoint
