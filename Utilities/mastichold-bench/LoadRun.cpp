#include "LoadRun.h"

#include <algorithm>
#include <utility>

namespace Bench {

namespace {

/** Attempts at one write before its outcome counts as unknown. */
constexpr int kMaxAttempts = 40;
constexpr Core::Duration kRetryPause = std::chrono::milliseconds(150);
constexpr int kMaxCountAttempts = 60;
constexpr std::size_t kMaxViolations = 50;

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
  for (const RequestKind& kind : RequestMixOf(aPreset)) {
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
  // The prefix keeps request ids unique across runs against one deployment.
  prefix_ = "r" + Core::Random::FromSystem().Hex(6) + "-";
  end_ = loop_.Now() + options_.time;
  const auto groups = client_.Fleet().Groups();
  callers_.resize(options_.callers);
  activeCallers_ = callers_.size();
  for (std::size_t i = 0; i < callers_.size(); ++i) {
    callers_[i].group = groups[i % groups.size()];
    ScheduleNext(i);
  }
}

void
LoadRun::ScheduleNext(std::size_t aCaller)
{
  if (loop_.Now() >= end_) {
    FinishCaller();
    return;
  }
  const auto pause = Core::Duration(static_cast<std::int64_t>(random_.Below(
    static_cast<std::uint64_t>(options_.thinkTime.count()) * 2 + 1)));
  callers_[aCaller].timer =
    loop_.After(pause, [this, aCaller] { SendNext(aCaller); });
}

void
LoadRun::SendNext(std::size_t aCaller)
{
  const RequestKind& kind = PickKind();
  ++result_.kinds[kind.name].sent;
  if (kind.isWrite)
    Write(aCaller, kind);
  else
    Read(aCaller, kind);
}

const RequestKind&
LoadRun::PickKind()
{
  const auto& mix = RequestMixOf(client_.Fleet().preset);
  auto remaining = static_cast<int>(random_.Below(1000));
  for (const RequestKind& kind : mix) {
    remaining -= kind.perThousand;
    if (remaining < 0)
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
LoadRun::Write(std::size_t aCaller, const RequestKind& aKind)
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
                   const RequestKind& aKind,
                   const CallerStatement& aStatement)
{
  client_.Send(
    PickNode(),
    aStatement,
    [this, aCaller, &aKind, aStatement](const CallerResponse& aResponse) {
      HandleWriteResponse(aCaller, aKind, aStatement, aResponse);
    });
}

void
LoadRun::HandleWriteResponse(std::size_t aCaller,
                             const RequestKind& aKind,
                             CallerStatement aStatement,
                             const CallerResponse& aResponse)
{
  CheckRequestId(aStatement.requestId, aResponse);
  Caller& caller = callers_[aCaller];
  KindResult& kind = result_.kinds[aKind.name];
  if (!aResponse.token.empty())
    caller.token = aResponse.token;
  switch (aResponse.end) {
    case CallEnd::Ok:
      ++kind.ok;
      kind.time.Record(aResponse.time);
      history_.RecordOutcome(aStatement.requestId,
                             History::ReportedOutcome::Ok);
      caller.lastWriteId = aStatement.requestId;
      caller.lastTable = TableOf(aKind.insert);
      ScheduleNext(aCaller);
      return;
    case CallEnd::NotRun:
      ++kind.notRun;
      // A connection refused without a response does not reveal the outcome of
      // earlier attempts.
      if (aStatement.attempt == 1 || !aResponse.requestId.empty())
        history_.RecordOutcome(aStatement.requestId,
                               History::ReportedOutcome::NotRun);
      ScheduleNext(aCaller);
      return;
    case CallEnd::Failed:
      history_.RecordOutcome(aStatement.requestId,
                             History::ReportedOutcome::Failed);
      ScheduleNext(aCaller);
      return;
    case CallEnd::Bad:
      AddViolation("a valid write was rejected as invalid: " +
                   aResponse.reason);
      ScheduleNext(aCaller);
      return;
    case CallEnd::Pending:
    case CallEnd::Lost:
      break;
  }
  if (++aStatement.attempt > kMaxAttempts) {
    ++result_.unsettled;
    history_.RecordUnresolved(aStatement.requestId + " (" + aResponse.reason +
                              ")");
    ScheduleNext(aCaller);
    return;
  }
  caller.timer = loop_.After(kRetryPause, [this, aCaller, &aKind, aStatement] {
    SendWrite(aCaller, aKind, aStatement);
  });
}

void
LoadRun::Read(std::size_t aCaller, const RequestKind& aKind)
{
  Caller& caller = callers_[aCaller];
  // Half of the reads after a write read it back, through any node.
  const bool isOwn = !caller.lastWriteId.empty() && random_.Chance(0.5);
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
    statement.parameters = { caller.lastWriteId };
  }
  client_.Send(PickNode(),
               statement,
               [this, aCaller, &aKind, id = statement.requestId, isOwn](
                 const CallerResponse& aResponse) {
                 HandleReadResponse(aCaller, aKind, id, isOwn, aResponse);
               });
}

void
LoadRun::HandleReadResponse(std::size_t aCaller,
                            const RequestKind& aKind,
                            const std::string& aId,
                            bool aIsOwn,
                            const CallerResponse& aResponse)
{
  CheckRequestId(aId, aResponse);
  KindResult& kind = result_.kinds[aKind.name];
  if (aResponse.end == CallEnd::Ok) {
    ++kind.ok;
    kind.time.Record(aResponse.time);
    ++(aResponse.role == "replica" ? result_.replicaReads
                                   : result_.primaryReads);
    callers_[aCaller].token = aResponse.token;
    const bool hasCount =
      aResponse.rows.size() == 1 && aResponse.rows[0].at(0).is_number();
    if (aIsOwn && hasCount)
      history_.RecordOwnRead(SessionOf(aCaller),
                             callers_[aCaller].lastWriteId,
                             aResponse.rows[0].at(0).to_number<std::int64_t>());
  } else if (aResponse.end == CallEnd::NotRun) {
    ++kind.notRun;
  } else if (aResponse.end == CallEnd::Failed ||
             aResponse.end == CallEnd::Bad) {
    AddViolation("a valid read failed or was rejected: " + aResponse.reason);
  }
  ScheduleNext(aCaller);
}

void
LoadRun::CheckRequestId(const std::string& aId, const CallerResponse& aResponse)
{
  ++result_.responses;
  if (!aResponse.requestId.empty())
    history_.RecordAnswer(aId, aResponse.requestId);
}

std::string
LoadRun::SessionOf(std::size_t aCaller)
{
  return "session " + std::to_string(aCaller);
}

void
LoadRun::AddViolation(const std::string& aText)
{
  if (result_.violations.size() < kMaxViolations)
    result_.violations.push_back(aText);
}

void
LoadRun::FinishCaller()
{
  if (--activeCallers_ == 0)
    CountRows();
}

void
LoadRun::CountRows()
{
  for (const std::string& group : client_.Fleet().Groups()) {
    for (const std::string& sql : RowCountQueries(client_.Fleet().preset))
      pendingCounts_.emplace_back(group, sql);
  }
  CountNextRows();
}

void
LoadRun::CountNextRows()
{
  if (pendingCounts_.empty()) {
    CheckHistory();
    return;
  }
  CallerStatement statement;
  statement.group = pendingCounts_.back().first;
  statement.requestId = NewId();
  statement.sql = pendingCounts_.back().second;
  statement.deadlineMs = 5000;
  client_.Send(PickNode(), statement, [this](const CallerResponse& aResponse) {
    if (aResponse.end == CallEnd::Ok && aResponse.role == "primary") {
      AddRowCounts(aResponse);
      pendingCounts_.pop_back();
    } else if (++countAttempts_ > kMaxCountAttempts) {
      AddViolation("the rows could not be counted: " + aResponse.reason);
      pendingCounts_.pop_back();
    }
    countTimer_ =
      loop_.After(Core::Duration::zero(), [this] { CountNextRows(); });
  });
}

void
LoadRun::AddRowCounts(const CallerResponse& aResponse)
{
  for (const boost::json::value& row : aResponse.rows) {
    const auto& cells = row.as_array();
    if (cells[0].is_string())
      rowCounts_[std::string(cells[0].as_string())] +=
        cells[1].to_number<std::int64_t>();
  }
}

void
LoadRun::CheckHistory()
{
  history_.Judge(rowCounts_);
  for (const History::Violation& violation : history_.Violations())
    AddViolation(std::string(History::kViolationNames.NameOf(violation.kind)) +
                 ": " + violation.text);
  done_(std::move(result_));
}

} // namespace Bench
