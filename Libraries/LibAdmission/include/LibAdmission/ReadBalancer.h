#pragma once

#include <LibCore/Clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace Admission {

/** A database that could run a read. */
struct ReadCandidate
{
  std::string database;
  /** The expected time of the read there, with all penalties. */
  Core::Duration cost{ 0 };
  /** When a statement was last answered, refused or failed there. */
  Core::Instant observedAt{};
  /** A read may go there only to learn how fast it is. */
  bool mayBeProbed = false;
};

/**
 * Spreads the reads of one node over the databases of one group: the least
 * expected time is chosen, and those that hardly differ take turns, so that
 * noise in the estimates moves little load. A small share of the reads are
 * probes of databases that would get none, so that a recovery is noticed.
 */
class ReadBalancer
{
public:
  /** Returns the index of the choice. aCandidates must not be empty. */
  std::size_t Choose(Core::Instant aNow,
                     std::span<const ReadCandidate> aCandidates) const;

  /** Records that a read goes to aChosen, which Choose has returned. */
  void RecordChoice(Core::Instant aNow, const ReadCandidate& aChosen);
  void Forget(const std::string& aDatabase) { used_.erase(aDatabase); }

  /** The part (0 to 1) of the latest reads that went to aDatabase. */
  double ShareOf(const std::string& aDatabase) const;

private:
  struct Use
  {
    /** The number of the latest read that went there. */
    std::uint64_t lastRead = 0;
    double share = 0;
  };

  bool IsProbeDue(Core::Instant aNow, const ReadCandidate& aCandidate) const;
  std::uint64_t LastReadOf(const ReadCandidate& aCandidate) const;

  std::map<std::string, Use> used_;
  std::uint64_t reads_ = 0;
  int readsSinceProbe_ = 0;
};

} // namespace Admission
