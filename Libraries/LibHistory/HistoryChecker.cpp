#include <LibHistory/HistoryChecker.h>

#include <algorithm>
#include <utility>

namespace History {

namespace {

/** Beyond this many, more of them tell nothing new. */
constexpr std::size_t kMostViolations = 100;

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
  if (violations_.size() < kMostViolations)
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
HistoryChecker::ToldOk() const
{
  return static_cast<std::size_t>(
    std::count_if(told_.begin(), told_.end(), [](const auto& aEntry) {
      return aEntry.second == Told::Ok;
    }));
}

void
HistoryChecker::RecordSent(const std::string& aTag)
{
  told_.try_emplace(aTag, Told::Open);
}

void
HistoryChecker::RecordTold(const std::string& aTag, Told aTold)
{
  Told& told = told_[aTag];
  const bool contradicts = told != Told::Open && told != aTold;
  if (contradicts)
    Add(ViolationKind::RanAfterAll, aTag + " was told two outcomes");
  told = aTold;
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
    Add(ViolationKind::Doubled,
        aTag + " was read " + std::to_string(aFound) + " times");
}

void
HistoryChecker::RecordPosition(const std::string& aSession,
                               const Session::LogPosition& aPosition)
{
  Session::LogPosition& last = positions_[aSession];
  if (aPosition.term == last.term && aPosition < last)
    Add(ViolationKind::Backwards,
        aSession + " read " + aPosition.ToText() + " after " + last.ToText());
  last = std::max(last, aPosition);
}

void
HistoryChecker::RecordAnswer(const std::string& aAsked,
                             const std::string& aAnswered)
{
  if (aAsked != aAnswered)
    Add(ViolationKind::Mismatched, aAsked + " got the answer to " + aAnswered);
}

void
HistoryChecker::RecordConfiguration(const std::string& aNode,
                                    std::uint64_t aVersion)
{
  std::uint64_t& last = versions_[aNode];
  if (aVersion < last)
    Add(ViolationKind::Reverted,
        aNode + " went from version " + std::to_string(last) + " to " +
          std::to_string(aVersion));
  last = std::max(last, aVersion);
}

void
HistoryChecker::RecordStranded(const std::string& aTag)
{
  Add(ViolationKind::Stranded, aTag + " could not be settled");
}

void
HistoryChecker::JudgeWrite(const std::string& aTag,
                           Told aTold,
                           std::int64_t aCount)
{
  if (aCount > 1)
    Add(ViolationKind::Doubled,
        aTag + " was run " + std::to_string(aCount) + " times");
  if (aTold == Told::Ok && aCount == 0)
    Add(ViolationKind::Lost, "acknowledged " + aTag + " is not there");
  if (aTold == Told::NotRun && aCount > 0)
    Add(ViolationKind::RanAfterAll, aTag + " was called not run");
  if (aTold == Told::Failed && aCount > 0)
    Add(ViolationKind::RanAfterAll, aTag + " was called failed");
}

void
HistoryChecker::Judge(const std::map<std::string, std::int64_t>& aCounts)
{
  for (const auto& [tag, told] : told_)
    JudgeWrite(tag, told, CountOf(aCounts, tag));
  for (const auto& tags : transactions_) {
    const std::int64_t first = CountOf(aCounts, tags.front());
    for (const std::string& tag : tags) {
      if (CountOf(aCounts, tag) != first)
        Add(ViolationKind::Mixed, "a part of " + tags.front() + " is missing");
    }
  }
}

} // namespace History
