#pragma once

#include <LibCore/EnumNames.h>
#include <LibSession/LogPosition.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace History {

/** A way in which a run broke what must always hold. */
enum class ViolationKind
{
  /** An acknowledged write is not in the data. */
  Lost,
  /** A write is in the data more than once. */
  Doubled,
  /** A session did not see its own acknowledged write. */
  ReadYourWrites,
  /** A session read an older state than before under the same primary. */
  Backwards,
  /** A write that was called "not run" or "failed" is in the data. */
  RanAfterAll,
  /** An answer was given to another request than its own. */
  Mismatched,
  /** A part of a transaction is in the data without the rest. */
  Mixed,
  /** A configuration gave way to an earlier one. */
  Reverted,
  /** A request that nobody could settle, though every fault was healed. */
  Stranded,
};

inline constexpr Core::EnumNames<ViolationKind, 9> kViolationNames{ {
  { { ViolationKind::Lost, "lost" },
    { ViolationKind::Doubled, "doubled" },
    { ViolationKind::ReadYourWrites, "read_your_writes" },
    { ViolationKind::Backwards, "backwards" },
    { ViolationKind::RanAfterAll, "ran_after_all" },
    { ViolationKind::Mismatched, "mismatched" },
    { ViolationKind::Mixed, "mixed" },
    { ViolationKind::Reverted, "reverted" },
    { ViolationKind::Stranded, "stranded" } },
} };

struct Violation
{
  ViolationKind kind = ViolationKind::Lost;
  std::string text;
};

/** What the callers were told of a write in the end. */
enum class Told
{
  /** Nothing final. */
  Open,
  Ok,
  NotRun,
  Failed,
};

/**
 * Judges a run by what its callers were told and what the data holds. Every
 * write leaves its own tag in the data, once for each time it ran.
 */
class HistoryChecker
{
public:
  void RecordSent(const std::string& aTag);
  void RecordTold(const std::string& aTag, Told aTold);
  /** The tags of one transaction, which must run together or not at all. */
  void RecordTransaction(std::vector<std::string> aTags);

  /** aSession looked for its own acknowledged aTag and found it so often. */
  void RecordOwnRead(const std::string& aSession,
                     const std::string& aTag,
                     std::int64_t aFound);
  /** aSession got an answer from this place in the log. */
  void RecordPosition(const std::string& aSession,
                      const Session::LogPosition& aPosition);
  void RecordAnswer(const std::string& aAsked, const std::string& aAnswered);
  void RecordConfiguration(const std::string& aNode, std::uint64_t aVersion);
  void RecordStranded(const std::string& aTag);

  /** Compares with the data: how often each tag is in it. */
  void Judge(const std::map<std::string, std::int64_t>& aCounts);

  const std::vector<Violation>& Violations() const { return violations_; }
  bool Has(ViolationKind aKind) const;
  std::size_t Writes() const { return told_.size(); }
  std::size_t ToldOk() const;

private:
  void Add(ViolationKind aKind, std::string aText);
  void JudgeWrite(const std::string& aTag, Told aTold, std::int64_t aCount);

  std::map<std::string, Told> told_;
  std::vector<std::vector<std::string>> transactions_;
  std::map<std::string, Session::LogPosition> positions_;
  std::map<std::string, std::uint64_t> versions_;
  std::vector<Violation> violations_;
};

} // namespace History
