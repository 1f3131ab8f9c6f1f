#include "LoadRun.h"

#include <algorithm>
#include <utility>

namespace Bench {

namespace {

/** Tries of one request before its caller gives up on settling it. */
constexpr int kMostAttempts = 40;
constexpr Core::Duration kRetryPause = std::chrono::milliseconds(150);
constexpr int kMostAuditTries = 60;
constexpr std::size_t kMostWrong = 50;

std::string
TableOf(const std::string& aInsert)
{
  // "INSERT INTO table VALUES(...)"
  constexpr std::size_t kStart = 12;
  return aInsert.substr(kStart, aInsert.find(' ', kStart) - kStart);
}

std::string
KeyColumnOf(const std::string& aTable)
{
  if (aTable == "inventory")
    return "home";
  return aTable == "bookings" ? "crew" : "entry";
}

} // namespace

double
LoadResult::ReplicaShare() const
{
  const std::uint64_t reads = replicaReads + primaryReads;
  if (reads == 0)
    return 0;
  return static_cast<double>(replicaReads) / static_cast<double>(reads);
}

double
LoadResult::WeightedService(const std::string& aPreset) const
{
  double service = 0;
  for (const KindSpec& kind : MixOf(aPreset)) {
    const auto found = kinds.find(kind.name);
    if (found != kinds.end())
      service += static_cast<double>(found->second.ok) * kind.weight;
  }
  return service;
}

LoadRun::LoadRun(Core::Loop& aLoop,
                 CallerClient& aClient,
                 const LoadOptions& aOptions)
  : loop_(aLoop)
  , client_(aClient)
  , health_(aLoop, aClient)
  , options_(aOptions)
  , random_(aOptions.seed)
{
}

void
LoadRun::Start(std::function<void(LoadResult)> aDone)
{
  done_ = std::move(aDone);
  // Runs against one deployment must not share ids.
  prefix_ = "r" + Core::Random::FromSystem().Hex(6) + "-";
  end_ = loop_.Now() + options_.time;
  const auto groups = client_.Fleet().Groups();
  callers_.resize(options_.callers);
  working_ = callers_.size();
  for (std::size_t i = 0; i < callers_.size(); ++i) {
    callers_[i].group = groups[i % groups.size()];
    Pause(i);
  }
}

void
LoadRun::Pause(std::size_t aCaller)
{
  if (loop_.Now() >= end_) {
    CallerDone();
    return;
  }
  const auto pause = Core::Duration(static_cast<std::int64_t>(
    random_.Below(static_cast<std::uint64_t>(options_.think.count()) * 2 + 1)));
  callers_[aCaller].timer =
    loop_.After(pause, [this, aCaller] { Step(aCaller); });
}

void
LoadRun::Step(std::size_t aCaller)
{
  const KindSpec& kind = PickKind();
  ++result_.kinds[kind.name].sent;
  if (kind.isWrite)
    Write(aCaller, kind);
  else
    Read(aCaller, kind);
}

const KindSpec&
LoadRun::PickKind()
{
  const auto& mix = MixOf(client_.Fleet().preset);
  auto left = static_cast<int>(random_.Below(1000));
  for (const KindSpec& kind : mix) {
    left -= kind.perThousand;
    if (left < 0)
      return kind;
  }
  return mix.back();
}

std::size_t
LoadRun::PickNode()
{
  return health_.Pick(random_);
}

std::string
LoadRun::NewId()
{
  return prefix_ + std::to_string(++lastId_);
}

void
LoadRun::Write(std::size_t aCaller, const KindSpec& aKind)
{
  CallerStatement statement;
  statement.group = callers_[aCaller].group;
  statement.requestId = NewId();
  statement.kind = aKind.name;
  statement.sql = aKind.insert;
  statement.parameters = { statement.requestId };
  statement.isWrite = true;
  statement.token = callers_[aCaller].token;
  history_.RecordSent(statement.requestId);
  SendWrite(aCaller, aKind, statement);
}

void
LoadRun::SendWrite(std::size_t aCaller,
                   const KindSpec& aKind,
                   const CallerStatement& aStatement)
{
  client_.Send(
    PickNode(),
    aStatement,
    [this, aCaller, &aKind, aStatement](const CallerAnswer& aAnswer) {
      TakeWrite(aCaller, aKind, aStatement, aAnswer);
    });
}

void
LoadRun::TakeWrite(std::size_t aCaller,
                   const KindSpec& aKind,
                   CallerStatement aStatement,
                   const CallerAnswer& aAnswer)
{
  CheckEcho(aStatement.requestId, aAnswer);
  Caller& caller = callers_[aCaller];
  KindResult& kind = result_.kinds[aKind.name];
  if (!aAnswer.token.empty())
    caller.token = aAnswer.token;
  switch (aAnswer.end) {
    case CallEnd::Ok:
      ++kind.ok;
      kind.time.Record(aAnswer.time);
      history_.RecordTold(aStatement.requestId, History::Told::Ok);
      caller.lastTag = aStatement.requestId;
      caller.lastTable = TableOf(aKind.insert);
      Pause(aCaller);
      return;
    case CallEnd::NotRun:
      ++kind.notRun;
      // A connection refused before an answer says nothing of earlier tries.
      if (aStatement.attempt == 1 || !aAnswer.requestId.empty())
        history_.RecordTold(aStatement.requestId, History::Told::NotRun);
      Pause(aCaller);
      return;
    case CallEnd::Failed:
      history_.RecordTold(aStatement.requestId, History::Told::Failed);
      Pause(aCaller);
      return;
    case CallEnd::Bad:
      Wrong("a good request was called bad: " + aAnswer.reason);
      Pause(aCaller);
      return;
    case CallEnd::Pending:
    case CallEnd::Lost:
      break;
  }
  if (++aStatement.attempt > kMostAttempts) {
    ++result_.unsettled;
    history_.RecordStranded(aStatement.requestId + " (" + aAnswer.reason + ")");
    Pause(aCaller);
    return;
  }
  caller.timer = loop_.After(kRetryPause, [this, aCaller, &aKind, aStatement] {
    SendWrite(aCaller, aKind, aStatement);
  });
}

void
LoadRun::Read(std::size_t aCaller, const KindSpec& aKind)
{
  Caller& caller = callers_[aCaller];
  // Half of the reads after a write look for it, on whatever node.
  const bool isOwn = !caller.lastTag.empty() && random_.Chance(0.5);
  CallerStatement statement;
  statement.group = caller.group;
  statement.requestId = NewId();
  statement.kind = aKind.name;
  statement.sql = aKind.select;
  statement.parameters = { "nobody" };
  statement.token = caller.token;
  if (isOwn) {
    statement.sql = "SELECT COUNT(*) FROM " + caller.lastTable + " WHERE " +
                    KeyColumnOf(caller.lastTable) + " = ?";
    statement.parameters = { caller.lastTag };
  }
  client_.Send(PickNode(),
               statement,
               [this, aCaller, &aKind, id = statement.requestId, isOwn](
                 const CallerAnswer& aAnswer) {
                 TakeRead(aCaller, aKind, id, isOwn, aAnswer);
               });
}

void
LoadRun::TakeRead(std::size_t aCaller,
                  const KindSpec& aKind,
                  const std::string& aId,
                  bool aIsOwn,
                  const CallerAnswer& aAnswer)
{
  CheckEcho(aId, aAnswer);
  KindResult& kind = result_.kinds[aKind.name];
  if (aAnswer.end == CallEnd::Ok) {
    ++kind.ok;
    kind.time.Record(aAnswer.time);
    ++(aAnswer.role == "replica" ? result_.replicaReads : result_.primaryReads);
    callers_[aCaller].token = aAnswer.token;
    const bool hasCount =
      aAnswer.rows.size() == 1 && aAnswer.rows[0].at(0).is_number();
    if (aIsOwn && hasCount)
      history_.RecordOwnRead(SessionOf(aCaller),
                             callers_[aCaller].lastTag,
                             aAnswer.rows[0].at(0).to_number<std::int64_t>());
  } else if (aAnswer.end == CallEnd::NotRun) {
    ++kind.notRun;
  } else if (aAnswer.end == CallEnd::Failed || aAnswer.end == CallEnd::Bad) {
    Wrong("a good read was refused: " + aAnswer.reason);
  }
  Pause(aCaller);
}

void
LoadRun::CheckEcho(const std::string& aId, const CallerAnswer& aAnswer)
{
  ++result_.answers;
  if (!aAnswer.requestId.empty())
    history_.RecordAnswer(aId, aAnswer.requestId);
}

std::string
LoadRun::SessionOf(std::size_t aCaller)
{
  return "session " + std::to_string(aCaller);
}

void
LoadRun::Wrong(const std::string& aText)
{
  if (result_.wrong.size() < kMostWrong)
    result_.wrong.push_back(aText);
}

void
LoadRun::CallerDone()
{
  if (--working_ == 0)
    Audit();
}

void
LoadRun::Audit()
{
  for (const std::string& group : client_.Fleet().Groups()) {
    for (const std::string& sql : TagCounts(client_.Fleet().preset))
      audits_.emplace_back(group, sql);
  }
  AuditNext();
}

void
LoadRun::AuditNext()
{
  if (audits_.empty()) {
    Judge();
    return;
  }
  CallerStatement statement;
  statement.group = audits_.back().first;
  statement.requestId = NewId();
  statement.sql = audits_.back().second;
  statement.deadlineMs = 5000;
  client_.Send(PickNode(), statement, [this](const CallerAnswer& aAnswer) {
    if (aAnswer.end == CallEnd::Ok && aAnswer.role == "primary") {
      TakeCounts(aAnswer);
      audits_.pop_back();
    } else if (++auditTries_ > kMostAuditTries) {
      Wrong("the audit could not be read: " + aAnswer.reason);
      audits_.pop_back();
    }
    auditTimer_ = loop_.After(Core::Duration::zero(), [this] { AuditNext(); });
  });
}

void
LoadRun::TakeCounts(const CallerAnswer& aAnswer)
{
  for (const boost::json::value& row : aAnswer.rows) {
    const auto& cells = row.as_array();
    if (cells[0].is_string())
      counted_[std::string(cells[0].as_string())] +=
        cells[1].to_number<std::int64_t>();
  }
}

void
LoadRun::Judge()
{
  history_.Judge(counted_);
  for (const History::Violation& violation : history_.Violations())
    Wrong(std::string(History::kViolationNames.NameOf(violation.kind)) + ": " +
          violation.text);
  done_(std::move(result_));
}

} // namespace Bench
