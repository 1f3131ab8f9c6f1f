#pragma once

#include "Deployment.h"

#include <LibCore/Loop.h>
#include <LibCore/Random.h>
#include <LibWire/HttpClient.h>

#include <functional>
#include <string>

namespace Bench {

/** What became of a call, as a caller sees it. */
enum class CallEnd
{
  Ok,
  NotRun,
  Pending,
  Failed,
  /** No answer, or one that makes no sense. */
  Lost,
  /** The interface says that the request is wrong. */
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

/** One statement as a caller sends it. */
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

struct CallerAnswer
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
using CallerCallback = std::function<void(CallerAnswer)>;

/** Sends callers' statements to the nodes of a deployment. */
class CallerClient
{
public:
  CallerClient(Core::Loop& aLoop, const Deployment& aDeployment);

  /** Sends to node number aNode; aCallback runs once. */
  void Send(std::size_t aNode,
            const CallerStatement& aStatement,
            CallerCallback aCallback);

  /** Any call to any process of the deployment, with the operators' secret. */
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
