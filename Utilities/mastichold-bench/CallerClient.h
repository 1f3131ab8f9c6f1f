#pragma once

#include "Deployment.h"

#include <LibCore/Loop.h>
#include <LibCore/Random.h>
#include <LibWire/HttpClient.h>

#include <functional>
#include <string>

namespace Bench {

/** Outcome of a request, as the caller sees it. */
enum class CallEnd
{
  Ok,
  NotRun,
  Pending,
  Failed,
  /** No response, or one that cannot be parsed. */
  Lost,
  /** The caller interface rejected the request as invalid. */
  Bad,
};

inline constexpr Core::EnumNames<CallEnd, 6> kCallEndNames{ {
  { { CallEnd::Ok, "ok" },
    { CallEnd::NotRun, "not_run" },
    { CallEnd::Pending, "pending" },
    { CallEnd::Failed, "failed" },
    { CallEnd::Lost, "lost" },
    { CallEnd::Bad, "bad" } },
} };

/** One statement as a caller sends it. Unset limits are 0 or negative. */
struct CallerStatement
{
  std::string group;
  std::string requestId;
  std::string kind;
  std::string sql;
  boost::json::array parameters;
  int attempt = 1;
  bool isWrite = false;
  std::string token;
  std::int64_t deadlineMs = 0;
  std::int64_t maxAgeMs = -1;
};

/** A response to a statement; `time` is the round trip as measured here. */
struct CallerResponse
{
  CallEnd end = CallEnd::Lost;
  std::string requestId;
  std::string token;
  std::string endpoint;
  std::string role;
  std::string reason;
  boost::json::array rows;
  Core::Duration time{ 0 };
};
using CallerCallback = std::function<void(CallerResponse)>;

/** HTTP client of the caller and operator interfaces of a deployment. */
class CallerClient
{
public:
  CallerClient(Core::Loop& aLoop, const Deployment& aDeployment);

  /** Sends a statement to the node with index aNode. aCallback runs once. */
  void Send(std::size_t aNode,
            const CallerStatement& aStatement,
            CallerCallback aCallback);

  /**
   * Sends a request with the operators' secret to any process of the
   * deployment. aCallback gets the JSON body, or nullopt on an error.
   */
  void Call(const Wire::Address& aAddress,
            Wire::HttpMethod aMethod,
            const std::string& aTarget,
            const boost::json::object& aBody,
            std::function<void(std::optional<boost::json::object>)> aCallback);

  const Deployment& Fleet() const { return deployment_; }

private:
  Core::Loop& loop_;
  const Deployment& deployment_;
  Wire::HttpClient client_;
};

} // namespace Bench
