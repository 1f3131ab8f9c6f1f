#include <LibHistory/HistoryChecker.h>

#include <algorithm>
#include <utility>

namespace History {

namespace {

/** Limits the size of the report; further violations are dropped. */
constexpr std::size_t kMaxViolations = 100;

std::int64_t
CountOf(const std::map<std::string, std::int64_t>& aCounts,
        const std::string& aTag)
{
  const auto found = aCounts.find(aTag);
  return found == aCounts.end() ? 0 : found->second;
}

} // namespace

void
HistoryChecker::Add(ViolationKind aKind, std::string aText)
{
  if (violations_.size() < kMaxViolations)
    violations_.push_back({ aKind, std::move(aText) });
}

bool
HistoryChecker::Has(ViolationKind aKind) const
{
  return std::any_of(
    violations_.begin(), violations_.end(), [aKind](const Violation& aOne) {
      return aOne.kind == aKind;
    });
}

std::size_t
HistoryChecker::AcknowledgedWrites() const
{
  return static_cast<std::size_t>(
    std::count_if(outcomes_.begin(), outcomes_.end(), [](const auto& aEntry) {
      return aEntry.second == ReportedOutcome::Ok;
    }));
}

void
HistoryChecker::RecordSent(const std::string& aTag)
{
  outcomes_.try_emplace(aTag, ReportedOutcome::Open);
}

void
HistoryChecker::RecordOutcome(const std::string& aTag, ReportedOutcome aOutcome)
{
  ReportedOutcome& outcome = outcomes_[aTag];
  const bool contradicts =
    outcome != ReportedOutcome::Open && outcome != aOutcome;
  if (contradicts)
    Add(ViolationKind::ContradictsOutcome,
        aTag + " was reported with two different final outcomes");
  outcome = aOutcome;
}

void
HistoryChecker::RecordTransaction(std::vector<std::string> aTags)
{
  transactions_.push_back(std::move(aTags));
}

void
HistoryChecker::RecordOwnRead(const std::string& aSession,
                              const std::string& aTag,
                              std::int64_t aFound)
{
  if (aFound == 0)
    Add(ViolationKind::ReadYourWrites,
        aSession + " did not read its own write " + aTag);
  if (aFound > 1)
    Add(ViolationKind::Duplicated,
        aTag + " was read " + std::to_string(aFound) + " times");
}

void
HistoryChecker::RecordPosition(const std::string& aSession,
                               const Session::LogPosition& aPosition)
{
  Session::LogPosition& last = positions_[aSession];
  if (aPosition.term == last.term && aPosition < last)
    Add(ViolationKind::NonMonotonicRead,
        aSession + " read " + aPosition.ToText() + " after " + last.ToText());
  last = std::max(last, aPosition);
}

void
HistoryChecker::RecordAnswer(const std::string& aRequested,
                             const std::string& aReceived)
{
  if (aRequested != aReceived)
    Add(ViolationKind::MismatchedResponse,
        aRequested + " received the response to " + aReceived);
}

void
HistoryChecker::RecordConfiguration(const std::string& aNode,
                                    std::uint64_t aVersion)
{
  std::uint64_t& last = versions_[aNode];
  if (aVersion < last)
    Add(ViolationKind::ConfigurationReverted,
        aNode + " went from version " + std::to_string(last) + " to " +
          std::to_string(aVersion));
  last = std::max(last, aVersion);
}

void
HistoryChecker::RecordUnresolved(const std::string& aTag)
{
  Add(ViolationKind::Unresolved, aTag + " still has an unknown outcome");
}

void
HistoryChecker::CheckWrite(const std::string& aTag,
                           ReportedOutcome aOutcome,
                           std::int64_t aCount)
{
  if (aCount > 1)
    Add(ViolationKind::Duplicated,
        aTag + " was executed " + std::to_string(aCount) + " times");
  if (aOutcome == ReportedOutcome::Ok && aCount == 0)
    Add(ViolationKind::Lost, "acknowledged " + aTag + " is not in the data");
  if (aOutcome == ReportedOutcome::NotRun && aCount > 0)
    Add(ViolationKind::ContradictsOutcome,
        aTag + " was reported as not run but is in the data");
  if (aOutcome == ReportedOutcome::Failed && aCount > 0)
    Add(ViolationKind::ContradictsOutcome,
        aTag + " was reported as failed but is in the data");
}

void
HistoryChecker::Judge(const std::map<std::string, std::int64_t>& aCounts)
{
  for (const auto& [tag, outcome] : outcomes_)
    CheckWrite(tag, outcome, CountOf(aCounts, tag));
  for (const auto& tags : transactions_) {
    const std::int64_t first = CountOf(aCounts, tags.front());
    for (const std::string& tag : tags) {
      if (CountOf(aCounts, tag) != first)
        Add(ViolationKind::PartialTransaction,
            "only a part of the transaction of " + tags.front() +
              " is in the data");
    }
  }
}

} // namespace History
