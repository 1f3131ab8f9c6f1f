#pragma once

#include <LibAuthority/ChangeFeed.h>
#include <LibCore/Scheduler.h>
#include <LibMetrics/Metrics.h>
#include <LibPooler/ConfigurationPeers.h>
#include <LibPooler/ConfigurationPublisher.h>
#include <LibPooler/ConfigurationSources.h>
#include <LibPooler/Log.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Pooler {

/** What a ConfigurationFeed works with. */
struct ConfigurationLinks
{
  Authority::ChangeFeed& store;
  ConfigurationPeers& peers;
  /** Holds the row that this node has. */
  ConfigurationPublisher& publisher;
  /** True while this node holds the failover duty. */
  std::function<bool()> holdsDuty;
  /** True while heartbeats tell this node of newer configurations. */
  std::function<bool()> isNotified;
};

/**
 * Reads the row with the operators' configuration from a peer or from the
 * store, whichever ConfigurationSources chooses for each request. One request
 * is in progress at a time.
 */
class ConfigurationFeed final : public Authority::ChangeFeed
{
public:
  /** aRowKey is the key of the configuration's row. */
  ConfigurationFeed(Core::Scheduler& aScheduler,
                    const ConfigurationLinks& aLinks,
                    std::string aSelf,
                    std::string aRowKey,
                    Metrics::Registry& aMetrics,
                    LogSink aLog);
  ~ConfigurationFeed() override;

  ConfigurationSources& Sources() { return sources_; }

  /** The next request goes to the store, whose response alone is a proof. */
  void RequireStore() { requiresStore_ = true; }

  std::unique_ptr<Authority::PendingRequest> ReadRows(
    const std::string& aTable,
    const std::string& aFrom,
    RowsHandler aDone) override;
  std::unique_ptr<Authority::PendingRequest> AwaitChanges(
    const std::string& aTable,
    std::uint64_t aAfter,
    Core::Duration aWait,
    RowsHandler aDone) override;

private:
  class Request;
  /** The content of which parts have arrived. */
  struct Transfer
  {
    std::uint64_t digest = 0;
    std::uint64_t knownVersion = 0;
    std::string text;
  };

  std::optional<Member> ChooseSource();
  RowsHandler NoteOutcome(RowsHandler aDone);
  std::unique_ptr<Authority::PendingRequest> FetchFromPeer(
    const Member& aMember,
    Core::Duration aWait,
    bool aRequiresRow,
    RowsHandler aDone);
  /** Adds a part; false if it doesn't continue the transfer. */
  bool AddPart(const ConfigurationPart& aPart, std::uint64_t aKnownVersion);
  /** The row's value, from the complete content; none if it doesn't fit. */
  std::optional<std::string> ValueOf(const ConfigurationPart& aPart);

  Core::Scheduler& scheduler_;
  ConfigurationLinks links_;
  ConfigurationSources sources_;
  std::string rowKey_;
  Metrics::Registry& metrics_;
  LogSink log_;
  bool requiresStore_ = false;
  /** False after a delta did not give the value that it should. */
  bool acceptsDelta_ = true;
  Transfer transfer_;
  /** The name of the member asked last; empty for the store. */
  std::string lastSource_;
  /** The request in progress, or null; it unregisters itself. */
  Request* current_ = nullptr;
};

} // namespace Pooler
