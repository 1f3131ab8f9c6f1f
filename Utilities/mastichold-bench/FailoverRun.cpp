#include "FailoverRun.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace Bench {

namespace {

constexpr Core::Duration kWritePeriod = std::chrono::milliseconds(10);
constexpr Core::Duration kHealthPeriod = std::chrono::milliseconds(100);
/** Time that a group is healthy before its next loss of a primary. */
constexpr Core::Duration kSettleTime = std::chrono::milliseconds(700);
constexpr Core::Duration kFailoverTimeout = std::chrono::seconds(20);
constexpr std::int64_t kWriteDeadlineMs = 4000;

std::string
TextOf(const boost::json::object& aObject, const char* aKey)
{
  const auto* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_string()
           ? std::string(value->get_string())
           : "";
}

std::int64_t
NumberOf(const boost::json::object& aObject, const char* aKey)
{
  const auto* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_number()
           ? value->to_number<std::int64_t>()
           : -1;
}

} // namespace

FailoverRun::FailoverRun(Core::Loop& aLoop,
                         CallerClient& aClient,
                         const FailoverOptions& aOptions)
  : loop_(aLoop)
  , client_(aClient)
  , prefix_("f" + Core::Random::FromSystem().Hex(6) + "-")
{
  const auto groups = aClient.Fleet().Groups();
  for (int i = 0; i < aOptions.rounds; ++i) {
    for (const LossKind kind : aOptions.kinds) {
      for (const bool isStoreDown : { false, true }) {
        if (!isStoreDown || aOptions.withStoreDown)
          rounds_.push_back(
            { kind, isStoreDown, groups[rounds_.size() % groups.size()] });
      }
    }
  }
}

void
FailoverRun::Start(std::function<void(std::vector<FailoverSample>)> aDone)
{
  done_ = std::move(aDone);
  NextRound();
}

void
FailoverRun::NextRound()
{
  if (round_ == rounds_.size()) {
    done_(std::move(samples_));
    return;
  }
  WaitUntilHealthy([this] {
    SetStoreDown(rounds_[round_].isStoreDown, [this] {
      writeTimer_ = loop_.Every(kWritePeriod, [this] { WriteOnce(); });
      timer_ = loop_.After(kSettleTime, [this] { FailPrimary(); });
    });
  });
}

void
FailoverRun::WaitUntilHealthy(std::function<void()> aThen)
{
  whenHealthy_ = std::move(aThen);
  statuses_.clear();
  const std::string& group = rounds_[round_].group;
  const auto& databases = client_.Fleet().databases;
  pendingStatuses_ = static_cast<std::size_t>(std::count_if(
    databases.begin(), databases.end(), [&](const auto& aDatabase) {
      return aDatabase.group == group;
    }));
  for (const DatabaseProcess& database : databases) {
    if (database.group != group)
      continue;
    client_.Call(database.address,
                 Wire::HttpMethod::Get,
                 "/v1/control/status",
                 {},
                 [this, name = database.name](
                   const std::optional<boost::json::object>& aStatus) {
                   if (aStatus)
                     statuses_[name] = *aStatus;
                   if (--pendingStatuses_ == 0)
                     EvaluateStatuses();
                 });
  }
}

void
FailoverRun::EvaluateStatuses()
{
  primary_.clear();
  std::int64_t term = -1;
  bool isHealthy = statuses_.size() >= 3;
  for (const auto& [name, status] : statuses_) {
    if (TextOf(status, "role") == "primary") {
      isHealthy = isHealthy && primary_.empty();
      primary_ = name;
      term = NumberOf(status, "promised");
    }
  }
  for (const auto& [name, status] : statuses_) {
    isHealthy = isHealthy && NumberOf(status, "log_term") == term &&
                NumberOf(status, "promised") == term &&
                !status.at("joining").as_bool();
  }
  if (isHealthy && !primary_.empty()) {
    const auto then = std::exchange(whenHealthy_, nullptr);
    then();
    return;
  }
  timer_ = loop_.After(kHealthPeriod, [this] {
    WaitUntilHealthy(std::exchange(whenHealthy_, nullptr));
  });
}

void
FailoverRun::SetStoreDown(bool aIsDown, std::function<void()> aThen)
{
  client_.Call(client_.Fleet().platform,
               Wire::HttpMethod::Post,
               "/faults",
               { { "down", aIsDown } },
               [then = std::move(aThen)](
                 const std::optional<boost::json::object>&) { then(); });
}

void
FailoverRun::FailPrimary()
{
  isPrimaryLost_ = true;
  lostAt_ = loop_.Now();
  SetFault(true);
  timer_ = loop_.After(kFailoverTimeout, [this] {
    samples_.push_back(
      { rounds_[round_].kind, rounds_[round_].isStoreDown, std::nullopt });
    EndRound();
  });
}

void
FailoverRun::SetFault(bool aIsActive)
{
  const DatabaseProcess* database = client_.Fleet().FindDatabase(primary_);
  const pid_t pid = client_.Fleet().PidOf(primary_, database->pid);
  switch (rounds_[round_].kind) {
    case LossKind::Kill:
      if (aIsActive)
        ::kill(pid, SIGKILL);
      return;
    case LossKind::Freeze:
      ::kill(pid, aIsActive ? SIGSTOP : SIGCONT);
      return;
    case LossKind::Isolate: {
      boost::json::array peers;
      if (aIsActive)
        peers.emplace_back("*");
      client_.Call(database->address,
                   Wire::HttpMethod::Post,
                   "/faults",
                   { { "isolated_from", peers } },
                   [](const std::optional<boost::json::object>&) {});
      return;
    }
  }
}

void
FailoverRun::WriteOnce()
{
  CallerStatement statement;
  statement.group = rounds_[round_].group;
  statement.requestId = prefix_ + std::to_string(++writes_);
  statement.sql = client_.Fleet().preset == "quebec"
                    ? "INSERT INTO bookings VALUES(?, 'd', 'h')"
                    : "INSERT INTO fees VALUES(?, 1)";
  statement.parameters = { statement.requestId };
  statement.isWrite = true;
  statement.deadlineMs = kWriteDeadlineMs;
  client_.Send(writes_ % client_.Fleet().nodes.size(),
               statement,
               [this, round = round_](const CallerResponse& aResponse) {
                 if (round == round_)
                   HandleWriteResponse(aResponse);
               });
}

void
FailoverRun::HandleWriteResponse(const CallerResponse& aResponse)
{
  // Writes that the lost primary accepted earlier may still be acknowledged.
  if (!isPrimaryLost_ || aResponse.end != CallEnd::Ok ||
      aResponse.endpoint == primary_)
    return;
  samples_.push_back({ rounds_[round_].kind,
                       rounds_[round_].isStoreDown,
                       loop_.Now() - lostAt_ });
  EndRound();
}

void
FailoverRun::EndRound()
{
  isPrimaryLost_ = false;
  writeTimer_.reset();
  timer_.reset();
  SetFault(false);
  SetStoreDown(false, [this] {
    ++round_;
    timer_ = loop_.After(kSettleTime, [this] { NextRound(); });
  });
}

} // namespace Bench
