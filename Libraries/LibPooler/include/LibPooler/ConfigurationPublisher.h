#pragma once

#include <LibCore/Scheduler.h>
#include <LibMetrics/Metrics.h>
#include <LibPooler/ConfigurationPeers.h>

#include <boost/json.hpp>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace Pooler {

/**
 * Keeps the row with the operators' configuration as this node has received it,
 * and answers the requests of peers for it.
 */
class ConfigurationPublisher
{
public:
  using Reply = std::function<void(ConfigurationPart)>;

  /** The largest part of a row in one response. */
  static constexpr std::size_t kPartBytes = 65536;
  /**
   * How long the content of an earlier row is kept after its last use. A peer
   * that receives a large row completes it, however often the row changes.
   */
  static constexpr Core::Duration kContentLifetime =
    std::chrono::milliseconds(2000);
  /** The latest changes that are kept as deltas. */
  static constexpr std::size_t kMaxDeltas = 16;

  ConfigurationPublisher(Core::Scheduler& aScheduler,
                         Metrics::Registry& aMetrics);

  /** Sets the row, and answers the requests that wait for it. */
  void SetRow(std::uint64_t aVersion, std::string aValue);
  /** All changes up to this store version have been received. */
  void SetStoreVersion(std::uint64_t aVersion) { storeVersion_ = aVersion; }
  /** Sets the function that returns how much of a newer row has arrived. */
  void SetProgress(std::function<std::size_t()> aProgress)
  {
    progress_ = std::move(aProgress);
  }

  /** The store version of the row; 0 if there is none. */
  std::uint64_t Version() const { return version_; }
  const std::string& Value() const { return value_; }

  /** Answers at once if there is a newer row, or when the wait is over. */
  void Answer(const ConfigurationRequest& aRequest, Reply aReply);

  /** The digest in ConfigurationPart. */
  static std::uint64_t DigestOf(std::string_view aText);

private:
  struct Waiter
  {
    ConfigurationRequest request;
    Reply reply;
    Core::TimerHandle timer;
  };
  /** The delta to the row's next version. */
  struct Step
  {
    std::uint64_t before = 0;
    boost::json::array delta;
    std::size_t size = 0;
  };
  /** What is sent to peers that have the same row, as a whole or as deltas. */
  struct Content
  {
    /** The peers' version; 0 if the content is the whole row. */
    std::uint64_t knownVersion = 0;
    std::uint64_t version = 0;
    std::uint64_t storeVersion = 0;
    std::uint64_t valueDigest = 0;
    std::string text;
    std::uint64_t digest = 0;
    Core::Instant usedAt{};
  };

  void RecordStep(const std::string& aNext);
  /** Returns the deltas since a version; none if they aren't kept. */
  std::optional<std::string> DeltasSince(std::uint64_t aVersion) const;
  Content& ContentFor(const ConfigurationRequest& aRequest);
  Content& AddContent(std::uint64_t aKnownVersion, std::string aText);
  ConfigurationPart PartFor(const ConfigurationRequest& aRequest);
  ConfigurationPart NothingNewer() const;

  Core::Scheduler& scheduler_;
  Metrics::Registry& metrics_;
  std::function<std::size_t()> progress_;
  std::uint64_t version_ = 0;
  std::uint64_t storeVersion_ = 0;
  std::string value_;
  std::uint64_t valueDigest_ = 0;
  std::deque<Step> steps_;
  /** Of this row, and of earlier ones that peers are still receiving. */
  std::list<Content> contents_;
  std::map<std::uint64_t, Waiter> waiters_;
  std::uint64_t lastWaiter_ = 0;
};

} // namespace Pooler
