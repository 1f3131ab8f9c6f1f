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

/** What a caller is told of its request. */
enum class Outcome
{
  /** It ran, and what it wrote is confirmed. */
  Ok,
  /** It did not run and never will under this id. */
  NotRun,
  /** It may have run; asking again with the same id settles it. */
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

/** A caller's statement, as POST /v1/groups/{group}/statements takes it. */
struct StatementRequest
{
  std::string requestId;
  std::string session;
  std::string kind;
  Endpoint::Statement statement;
  /** 1 for the first try of this request id. */
  std::int64_t attempt = 1;
  bool isWrite = false;
  /** True when running it twice does no harm, so that no ledger is needed. */
  bool isRepeatable = false;
  /** Absent: the kind's accepted age. */
  std::optional<Core::Duration> maxAge;
  /** Absent: the kind's deadline. */
  std::optional<Core::Duration> deadline;
  Session::SessionToken token;

  /** Reads a body and collects all that is wrong with it. */
  static std::optional<StatementRequest> Parse(std::string_view aBody,
                                               Core::Findings& aFindings);
};

/** The answer to a caller's statement or commit. */
struct RequestAnswer
{
  std::string requestId;
  Outcome outcome = Outcome::NotRun;
  Endpoint::StatementResult result;
  /** True when the outcome is that of an earlier run, without its rows. */
  bool isReplayed = false;
  /** What the session must see from here on. */
  Session::SessionToken token;
  /** The database that answered, and whether it was the primary. */
  std::string endpoint;
  bool isPrimary = false;
  /** Bound on the data's age; absent for the primary's. */
  std::optional<Core::Duration> age;
  std::string reason;
  Core::Duration retryAfter{ 0 };
  /** True when the request itself is at fault, such as by its token. */
  bool isBadRequest = false;

  boost::json::object ToJson() const;
};
using AnswerCallback = std::function<void(RequestAnswer)>;

} // namespace Request
