#pragma once

#include <LibQuota/Messages.h>
#include <LibWire/FieldReader.h>

#include <cmath>
#include <limits>
#include <string>
#include <vector>

namespace Peers {

/** Rates and depths travel as numbers of units. Bounds what a peer may send. */
inline constexpr std::int64_t kMaxUnits = 1'000'000'000'000;

inline std::int64_t
ToUnits(double aValue)
{
  return std::llround(aValue * Quota::kUnitsPerOperation);
}

inline double
ReadUnits(Wire::FieldReader& aReader, std::string_view aKey)
{
  const auto units = aReader.Integer(aKey, 0, kMaxUnits);
  return static_cast<double>(units) / Quota::kUnitsPerOperation;
}

inline std::uint64_t
ReadCounter(Wire::FieldReader& aReader, std::string_view aKey)
{
  return static_cast<std::uint64_t>(
    aReader.Integer(aKey, 0, std::numeric_limits<std::int64_t>::max()));
}

/** Calls aRead for each object of a list; other elements are findings. */
template<typename Read>
void
ForEachObject(Wire::FieldReader& aReader, std::string_view aKey, Read aRead)
{
  const boost::json::array* list = aReader.OptionalArray(aKey);
  if (list == nullptr)
    return;
  const std::string place = aReader.Place() + "/" + std::string(aKey);
  for (const boost::json::value& value : *list) {
    const boost::json::object* fields = value.if_object();
    if (fields == nullptr) {
      aReader.FindingsOf().Add(place, "must hold objects");
      continue;
    }
    Wire::FieldReader item(*fields, aReader.FindingsOf(), place);
    aRead(item);
  }
}

inline boost::json::object
ToJson(const Quota::ShareRequest& aRequest)
{
  boost::json::array reports;
  for (const Quota::ShareReport& report : aRequest.reports)
    reports.push_back({ { "customer", report.customer },
                        { "rate", ToUnits(report.rate) },
                        { "depth", ToUnits(report.depth) },
                        { "stock", ToUnits(report.stock) },
                        { "demand", ToUnits(report.demand) },
                        { "waiting", report.waiting } });
  return { { "node", aRequest.node },
           { "term", aRequest.term },
           { "counter", aRequest.counter },
           { "reports", std::move(reports) } };
}

inline Quota::ShareRequest
ReadShareRequest(Wire::FieldReader& aReader)
{
  Quota::ShareRequest request;
  request.node = aReader.String("node");
  request.term = ReadCounter(aReader, "term");
  request.counter = ReadCounter(aReader, "counter");
  ForEachObject(aReader, "reports", [&request](Wire::FieldReader& aItem) {
    Quota::ShareReport report;
    report.customer = aItem.String("customer");
    report.rate = ReadUnits(aItem, "rate");
    report.depth = ReadUnits(aItem, "depth");
    report.stock = ReadUnits(aItem, "stock");
    report.demand = ReadUnits(aItem, "demand");
    report.waiting = aItem.Integer("waiting", 0, kMaxUnits);
    request.reports.push_back(std::move(report));
  });
  return request;
}

inline void
WriteShareResponse(const Quota::ShareResponse& aResponse,
                   boost::json::object& aJson)
{
  boost::json::array grants;
  for (const Quota::ShareGrant& grant : aResponse.grants)
    grants.push_back({ { "customer", grant.customer },
                       { "rate", ToUnits(grant.rate) },
                       { "depth", ToUnits(grant.depth) },
                       { "tokens", ToUnits(grant.tokens) } });
  aJson["term"] = aResponse.term;
  aJson["accepted"] = aResponse.isAccepted;
  aJson["grants"] = std::move(grants);
}

inline Quota::ShareResponse
ReadShareResponse(Wire::FieldReader& aReader)
{
  Quota::ShareResponse response;
  response.term = ReadCounter(aReader, "term");
  response.isAccepted = aReader.Boolean("accepted", false);
  ForEachObject(aReader, "grants", [&response](Wire::FieldReader& aItem) {
    Quota::ShareGrant grant;
    grant.customer = aItem.String("customer");
    grant.rate = ReadUnits(aItem, "rate");
    grant.depth = ReadUnits(aItem, "depth");
    grant.tokens = ReadUnits(aItem, "tokens");
    response.grants.push_back(std::move(grant));
  });
  return response;
}

} // namespace Peers
