#pragma once

#include <LibCore/Clock.h>
#include <LibCore/EnumNames.h>
#include <LibCore/Findings.h>
#include <LibEndpoint/EndpointLink.h>
#include <LibSession/SessionToken.h>

#include <boost/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Request {

/** The outcome of a request, as reported to its caller. */
enum class Outcome
{
  /** It ran, and its writes are confirmed. */
  Ok,
  /** It did not run and never will under this id. */
  NotRun,
  /** It may have run. A retry with the same id gives the final outcome. */
  Pending,
  /** The database refused it and rolled it back. */
  Failed,
};

inline constexpr Core::EnumNames<Outcome, 4> kOutcomeNames{ {
  { { Outcome::Ok, "ok" },
    { Outcome::NotRun, "not_run" },
    { Outcome::Pending, "pending" },
    { Outcome::Failed, "failed" } },
} };

/** The body of POST /v1/groups/{group}/statements. */
struct StatementRequest
{
  std::string requestId;
  std::string session;
  std::string kind;
  Endpoint::Statement statement;
  /** 1 for the first attempt with this request id. */
  std::int64_t attempt = 1;
  bool isWrite = false;
  /** True if it may run more than once, so that no ledger row is required. */
  bool isRepeatable = false;
  /** The accepted age of the data read. If absent, the kind's setting. */
  std::optional<Core::Duration> maxAge;
  /** The time allowed for the request. If absent, the kind's setting. */
  std::optional<Core::Duration> deadline;
  Session::SessionToken token;

  /** Parses a body. Adds a finding to aFindings for every invalid field. */
  static std::optional<StatementRequest> Parse(std::string_view aBody,
                                               Core::Findings& aFindings);
};

/** The response to a caller's statement or commit. */
struct StatementResponse
{
  std::string requestId;
  Outcome outcome = Outcome::NotRun;
  Endpoint::StatementResult result;
  /** True if the outcome is that of an earlier attempt; result has no rows. */
  bool isReplayed = false;
  /** The positions that later reads of the session must cover. */
  Session::SessionToken token;
  /** The database that ran it, and whether that was the primary. */
  std::string endpoint;
  bool isPrimary = false;
  /** Upper bound on the data's age; absent for data of the primary. */
  std::optional<Core::Duration> age;
  std::string reason;
  Core::Duration retryAfter{ 0 };
  /** True if the request itself is invalid, such as its token. */
  bool isBadRequest = false;

  boost::json::object ToJson() const;
};
using ResponseCallback = std::function<void(StatementResponse)>;

} // namespace Request
