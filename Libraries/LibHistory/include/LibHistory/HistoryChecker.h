#pragma once

#include <LibCore/EnumNames.h>
#include <LibSession/LogPosition.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace History {

/** The invariant that a run violated. */
enum class ViolationKind
{
  /** An acknowledged write is not in the data. */
  Lost,
  /** A write is in the data more than once. */
  Duplicated,
  /** A session did not read its own acknowledged write. */
  ReadYourWrites,
  /** A session read an older state than before in the same term. */
  NonMonotonicRead,
  /**
   * A write that was reported as not run or failed is in the data, or two
   * different final outcomes were reported.
   */
  ContradictsOutcome,
  /** A request received the response to another request. */
  MismatchedResponse,
  /** Only a part of a transaction is in the data. */
  PartialTransaction,
  /** A node replaced its configuration with an older version. */
  ConfigurationReverted,
  /** The outcome of a request stayed unknown after all faults were healed. */
  Unresolved,
};

inline constexpr Core::EnumNames<ViolationKind, 9> kViolationNames{ {
  { { ViolationKind::Lost, "lost" },
    { ViolationKind::Duplicated, "doubled" },
    { ViolationKind::ReadYourWrites, "read_your_writes" },
    { ViolationKind::NonMonotonicRead, "backwards" },
    { ViolationKind::ContradictsOutcome, "ran_after_all" },
    { ViolationKind::MismatchedResponse, "mismatched" },
    { ViolationKind::PartialTransaction, "mixed" },
    { ViolationKind::ConfigurationReverted, "reverted" },
    { ViolationKind::Unresolved, "stranded" } },
} };

struct Violation
{
  ViolationKind kind = ViolationKind::Lost;
  std::string text;
};

/** The final outcome of a write, as reported to its caller. */
enum class ReportedOutcome
{
  /** No final outcome was reported. */
  Open,
  Ok,
  NotRun,
  Failed,
};

/**
 * Checks the history of a run: compares the outcomes reported to callers with
 * the data at the end. Every write adds its unique tag to the data each time it
 * is executed.
 */
class HistoryChecker
{
public:
  void RecordSent(const std::string& aTag);
  void RecordOutcome(const std::string& aTag, ReportedOutcome aOutcome);
  /** Records the tags of one transaction, whose writes must be atomic. */
  void RecordTransaction(std::vector<std::string> aTags);

  /** Records that aSession read its acknowledged write aTag aFound times. */
  void RecordOwnRead(const std::string& aSession,
                     const std::string& aTag,
                     std::int64_t aFound);
  /** Records the log position of a read of aSession. */
  void RecordPosition(const std::string& aSession,
                      const Session::LogPosition& aPosition);
  /** Compares the requested id or tag with the one in the response. */
  void RecordAnswer(const std::string& aRequested,
                    const std::string& aReceived);
  void RecordConfiguration(const std::string& aNode, std::uint64_t aVersion);
  void RecordUnresolved(const std::string& aTag);

  /** Checks all writes against the data. aCounts has the count of each tag. */
  void Judge(const std::map<std::string, std::int64_t>& aCounts);

  const std::vector<Violation>& Violations() const { return violations_; }
  bool Has(ViolationKind aKind) const;
  std::size_t Writes() const { return outcomes_.size(); }
  std::size_t AcknowledgedWrites() const;

private:
  void Add(ViolationKind aKind, std::string aText);
  void CheckWrite(const std::string& aTag,
                  ReportedOutcome aOutcome,
                  std::int64_t aCount);

  std::map<std::string, ReportedOutcome> outcomes_;
  std::vector<std::vector<std::string>> transactions_;
  std::map<std::string, Session::LogPosition> positions_;
  std::map<std::string, std::uint64_t> versions_;
  std::vector<Violation> violations_;
};

} // namespace History
