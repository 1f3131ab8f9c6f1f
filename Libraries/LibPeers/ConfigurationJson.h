#pragma once

#include <LibPooler/ConfigurationPeers.h>
#include <LibWire/FieldReader.h>

#include <limits>

namespace Peers {

inline boost::json::object
ToJson(const Pooler::ConfigurationRequest& aRequest)
{
  return { { "known_version", aRequest.knownVersion },
           { "accepts_delta", aRequest.acceptsDelta },
           { "digest", aRequest.digest },
           { "offset", aRequest.offset },
           { "wait_us", aRequest.wait.count() } };
}

/** Reads a number from 0; 0 if it is absent. */
inline std::uint64_t
ReadNumber(Wire::FieldReader& aReader, std::string_view aKey)
{
  constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
  return static_cast<std::uint64_t>(
    aReader.OptionalInteger(aKey, 0, kMaxInt64).value_or(0));
}

inline Pooler::ConfigurationRequest
ReadConfigurationRequest(Wire::FieldReader& aReader)
{
  /** Longer waits are of no use, as the requester would give up first. */
  constexpr std::int64_t kMaxWaitMicroseconds = 30'000'000;
  Pooler::ConfigurationRequest request;
  request.knownVersion = ReadNumber(aReader, "known_version");
  request.acceptsDelta = aReader.Boolean("accepts_delta", false);
  request.digest = ReadNumber(aReader, "digest");
  request.offset = ReadNumber(aReader, "offset");
  request.wait = Core::Duration(
    aReader.OptionalInteger("wait_us", 0, kMaxWaitMicroseconds).value_or(0));
  return request;
}

inline boost::json::object
ToJson(const Pooler::ConfigurationPart& aPart)
{
  if (aPart.version == 0)
    return { { "store_version", aPart.storeVersion },
             { "receiving", aPart.receivingBytes } };
  return { { "version", aPart.version },
           { "store_version", aPart.storeVersion },
           { "delta", aPart.isDelta },
           { "digest", aPart.digest },
           { "value_digest", aPart.valueDigest },
           { "size", aPart.size },
           { "offset", aPart.offset },
           { "text", aPart.text } };
}

inline Pooler::ConfigurationPart
ReadConfigurationPart(Wire::FieldReader& aReader)
{
  Pooler::ConfigurationPart part;
  part.version = ReadNumber(aReader, "version");
  part.storeVersion = ReadNumber(aReader, "store_version");
  part.isDelta = aReader.Boolean("delta", false);
  part.digest = ReadNumber(aReader, "digest");
  part.valueDigest = ReadNumber(aReader, "value_digest");
  part.size = ReadNumber(aReader, "size");
  part.offset = ReadNumber(aReader, "offset");
  part.text = aReader.OptionalString("text").value_or("");
  part.receivingBytes = ReadNumber(aReader, "receiving");
  part.isAnswered = aReader.FindingsOf().IsEmpty();
  return part;
}

} // namespace Peers
