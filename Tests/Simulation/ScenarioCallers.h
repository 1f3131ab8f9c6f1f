#pragma once

#include "ScenarioHome.h"
#include "ScenarioRun.h"

#include <LibProxy/Statements.h>

#include <set>
#include <utility>

namespace Simulation {

/** The network name shared by all callers. */
inline constexpr const char* kCallersName = "callers";
inline constexpr Core::Duration kMeanThinkTime = std::chrono::milliseconds(60);
inline constexpr Core::Duration kDeadline = std::chrono::milliseconds(900);
inline constexpr Core::Duration kResponseTimeout =
  std::chrono::milliseconds(1300);
inline constexpr Core::Duration kRetryPause = std::chrono::milliseconds(120);
inline constexpr double kOwnReadChance = 0.4;
/** Probability that a write is sent twice at the same time. */
inline constexpr double kDuplicateSendChance = 0.1;

/**
 * Sessions that write, retry writes whose outcome is pending, and read their
 * own writes.
 */
class ScenarioRun::Callers
{
public:
  explicit Callers(ScenarioRun& aRun)
    : run_(aRun)
    , time_(aRun.time_)
    , sessions_(static_cast<std::size_t>(aRun.scenario_.callers))
  {
  }

  void Start(Core::Instant aEnd)
  {
    end_ = aEnd;
    for (std::size_t i = 0; i < sessions_.size(); ++i)
      Next(i);
  }
  /** Records every write whose outcome is still unknown. */
  void RecordUnresolvedWrites()
  {
    for (const std::string& tag : unresolved_)
      run_.history_.RecordUnresolved(tag);
  }

private:
  struct CallerSession
  {
    ::Session::SessionToken token;
    std::string lastTag;
  };

  static std::string NameOf(std::size_t aSession)
  {
    return "session " + std::to_string(aSession);
  }

  void Next(std::size_t aSession)
  {
    if (time_.Now() >= end_)
      return;
    const auto pause = static_cast<std::int64_t>(run_.random_.Below(
      static_cast<std::uint64_t>(kMeanThinkTime.count()) * 2));
    time_.DeferFor(Core::Duration(pause), [this, aSession] { Step(aSession); });
  }

  void Step(std::size_t aSession)
  {
    const bool reads = !sessions_[aSession].lastTag.empty() &&
                       run_.random_.Chance(kOwnReadChance);
    if (reads)
      Read(aSession);
    else
      Write(aSession);
  }

  Request::StatementRequest NewRequest(std::size_t aSession,
                                       const std::string& aId)
  {
    Request::StatementRequest request;
    request.requestId = aId;
    request.session = NameOf(aSession);
    request.deadline = kDeadline;
    if (!run_.scenario_.callerBreaks.ignoresTokens)
      request.token = sessions_[aSession].token;
    return request;
  }

  void Write(std::size_t aSession)
  {
    const std::string tag = "w" + std::to_string(++lastTag_);
    run_.history_.RecordSent(tag);
    unresolved_.insert(tag);
    Request::StatementRequest request = NewRequest(aSession, tag);
    request.isWrite = true;
    request.isRepeatable = run_.scenario_.callerBreaks.claimsRepeatable;
    request.statement = { "PUT", { tag } };
    const bool isDuplicate = run_.random_.Chance(kDuplicateSendChance);
    if (isDuplicate) {
      // Neither of two concurrent requests may claim to be the only first
      // attempt.
      request.attempt = 2;
      SendTo(PickHome(), request, [](const auto&) {});
    }
    SendWrite(aSession, request);
  }

  void SendWrite(std::size_t aSession,
                 const Request::StatementRequest& aRequest)
  {
    SendTo(PickHome(),
           aRequest,
           [this, aSession, aRequest](
             const std::optional<Request::StatementResponse>& aResponse) {
             OnWriteResponse(aSession, aRequest, aResponse);
           });
  }

  void OnWriteResponse(
    std::size_t aSession,
    Request::StatementRequest aRequest,
    const std::optional<Request::StatementResponse>& aResponse)
  {
    const std::string& tag = aRequest.requestId;
    if (aResponse)
      sessions_[aSession].token = aResponse->token;
    if (aResponse && aResponse->outcome != Request::Outcome::Pending) {
      unresolved_.erase(tag);
      run_.history_.RecordOutcome(tag, ReportedOutcomeOf(aResponse->outcome));
      if (aResponse->outcome == Request::Outcome::Ok)
        sessions_[aSession].lastTag = tag;
      Next(aSession);
      return;
    }
    if (!run_.scenario_.callerBreaks.alwaysFirst)
      ++aRequest.attempt;
    aRequest.token = sessions_[aSession].token;
    time_.DeferFor(kRetryPause, [this, aSession, aRequest] {
      SendWrite(aSession, aRequest);
    });
  }

  static History::ReportedOutcome ReportedOutcomeOf(Request::Outcome aOutcome)
  {
    switch (aOutcome) {
      case Request::Outcome::Ok:
        return History::ReportedOutcome::Ok;
      case Request::Outcome::NotRun:
        return History::ReportedOutcome::NotRun;
      case Request::Outcome::Failed:
        return History::ReportedOutcome::Failed;
      case Request::Outcome::Pending:
        break;
    }
    return History::ReportedOutcome::Open;
  }

  void Read(std::size_t aSession)
  {
    const std::string tag = sessions_[aSession].lastTag;
    Request::StatementRequest request =
      NewRequest(aSession, "r" + std::to_string(++lastTag_));
    request.statement = { "COUNT", { tag } };
    request.maxAge = std::chrono::hours(1);
    SendTo(PickHome(),
           request,
           [this, aSession, tag](
             const std::optional<Request::StatementResponse>& aResponse) {
             OnReadResponse(aSession, tag, aResponse);
           });
  }

  void OnReadResponse(
    std::size_t aSession,
    const std::string& aTag,
    const std::optional<Request::StatementResponse>& aResponse)
  {
    const bool isOk = aResponse && aResponse->outcome == Request::Outcome::Ok &&
                      !aResponse->result.rows.empty();
    if (isOk) {
      sessions_[aSession].token = aResponse->token;
      const boost::json::array& row = aResponse->result.rows[0].as_array();
      const std::string found =
        row.size() == 2 && row[1].is_string() ? row[1].as_string().c_str() : "";
      run_.history_.RecordAnswer(aTag, found);
      if (found == aTag)
        run_.history_.RecordOwnRead(NameOf(aSession), aTag, row[0].as_int64());
      run_.history_.RecordPosition(NameOf(aSession),
                                   aResponse->token.PositionOf(kGroup));
    }
    Next(aSession);
  }

  Home& PickHome()
  {
    return *run_.homes_[run_.random_.Below(run_.homes_.size())];
  }

  /** Sends a request; calls aCallback once, with nullopt after a timeout. */
  void SendTo(
    Home& aHome,
    const Request::StatementRequest& aRequest,
    std::function<void(const std::optional<Request::StatementResponse>&)>
      aCallback)
  {
    auto once = std::make_shared<
      std::function<void(const std::optional<Request::StatementResponse>&)>>(
      std::move(aCallback));
    const auto deliver =
      [once](const std::optional<Request::StatementResponse>& aResponse) {
        if (const auto callback = std::exchange(*once, nullptr))
          callback(aResponse);
      };
    time_.DeferFor(kResponseTimeout, [deliver] { deliver(std::nullopt); });
    Home* home = &aHome;
    run_.network_.Send(
      kCallersName,
      aHome.Name(),
      aHome.Time(),
      [this, home, aRequest, deliver] {
        if (!home->IsUp())
          return;
        Proxy::RunStatement(
          home->Group(),
          aRequest,
          [this, home, aRequest, deliver](
            const Request::StatementResponse& aResponse) {
            run_.history_.RecordAnswer(aRequest.requestId, aResponse.requestId);
            run_.network_.Send(home->Name(),
                               kCallersName,
                               time_,
                               [deliver, aResponse] { deliver(aResponse); });
          });
      });
  }

  ScenarioRun& run_;
  ActorTime time_;
  std::vector<CallerSession> sessions_;
  Core::Instant end_;
  std::uint64_t lastTag_ = 0;
  std::set<std::string> unresolved_;
};

} // namespace Simulation
