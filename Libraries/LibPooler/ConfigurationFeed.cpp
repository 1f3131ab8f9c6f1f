#include <LibPooler/ConfigurationFeed.h>

#include <LibPooler/TextDelta.h>

#include <algorithm>
#include <utility>

namespace Pooler {

namespace {

/**
 * The longest waits of a request to a peer, while heartbeats tell of a newer
 * configuration and without. A peer that has stopped answering is noticed soon
 * after the wait.
 */
constexpr Core::Duration kLongWait = std::chrono::milliseconds(5000);
constexpr Core::Duration kShortWait = std::chrono::milliseconds(500);

/** Far larger than the largest row of the store. */
constexpr std::size_t kMaxContentBytes = std::size_t{ 16 } << 20U;

} // namespace

/** A request to the store, or the requests to a peer for all parts of a row. */
class ConfigurationFeed::Request final : public Authority::PendingRequest
{
public:
  explicit Request(ConfigurationFeed& aFeed)
    : feed_(aFeed)
  {
    feed_.current_ = this;
  }
  ~Request() override
  {
    if (feed_.current_ == this)
      feed_.current_ = nullptr;
  }
  Request(const Request&) = delete;
  Request& operator=(const Request&) = delete;

  std::size_t ReceivedBytes() const override
  {
    return receivedBytes_ + (call_ ? call_->ReceivedBytes() : 0);
  }

  void SetCall(std::unique_ptr<Authority::PendingRequest> aCall)
  {
    call_ = std::move(aCall);
  }

  /** Requests the part that follows those that have arrived. */
  void FetchPart(const Member& aMember, Core::Duration aWait)
  {
    ConfigurationRequest request;
    request.knownVersion = feed_.links_.publisher.Version();
    request.acceptsDelta = feed_.acceptsDelta_;
    request.wait = aWait;
    if (feed_.transfer_.knownVersion == request.knownVersion) {
      request.digest = feed_.transfer_.digest;
      request.offset = feed_.transfer_.text.size();
    }
    call_ = feed_.links_.peers.Fetch(
      aMember,
      request,
      [this, aMember, request](const ConfigurationPart& aPart) {
        OnPart(aMember, request, aPart);
      });
  }

  void OnPart(const Member& aMember,
              const ConfigurationRequest& aRequest,
              const ConfigurationPart& aPart)
  {
    const Core::Instant now = feed_.scheduler_.Now();
    if (!aPart.isAnswered) {
      feed_.sources_.OnPeerFailed(aMember.Key(), now);
      Finish({ .rows = {}, .isFromStore = false });
      return;
    }
    if (aPart.version == 0) {
      feed_.sources_.OnPeerReceiving(aPart.receivingBytes, now);
      const auto answer = requiresRow ? Authority::StoreStatus::Refused
                                      : Authority::StoreStatus::Done;
      Finish({ .answer = answer,
               .rows = {},
               .version = aPart.storeVersion,
               .isFromStore = false });
      return;
    }
    receivedBytes_ += aPart.text.size();
    if (!feed_.AddPart(aPart, aRequest.knownVersion)) {
      feed_.sources_.OnPeerFailed(aMember.Key(), now);
      Finish({ .rows = {}, .isFromStore = false });
      return;
    }
    if (feed_.transfer_.text.size() < aPart.size)
      FetchPart(aMember, Core::Duration::zero());
    else
      FinishWithRow(aPart);
  }

  RowsHandler done{};
  /** Whether a response without a newer row counts as refused. */
  bool requiresRow = false;

private:
  void FinishWithRow(const ConfigurationPart& aPart)
  {
    auto value = feed_.ValueOf(aPart);
    if (!value) {
      Finish({ .rows = {}, .isFromStore = false });
      return;
    }
    Authority::StoreRows result;
    result.answer = Authority::StoreStatus::Done;
    result.rows.push_back({ feed_.rowKey_, std::move(*value), aPart.version });
    result.version = std::max(aPart.storeVersion, aPart.version);
    result.isFromStore = false;
    Finish(std::move(result));
  }

  /** The handler may destroy this request. */
  void Finish(Authority::StoreRows aResult)
  {
    aResult.receivedBytes = receivedBytes_;
    const RowsHandler handler = std::move(done);
    handler(std::move(aResult));
  }

  ConfigurationFeed& feed_;
  std::unique_ptr<Authority::PendingRequest> call_;
  std::size_t receivedBytes_ = 0;
};

ConfigurationFeed::ConfigurationFeed(Core::Scheduler& aScheduler,
                                     const ConfigurationLinks& aLinks,
                                     std::string aSelf,
                                     std::string aRowKey,
                                     Metrics::Registry& aMetrics,
                                     LogSink aLog)
  : scheduler_(aScheduler)
  , links_(aLinks)
  , sources_(std::move(aSelf))
  , rowKey_(std::move(aRowKey))
  , metrics_(aMetrics)
  , log_(std::move(aLog))
{
  links_.publisher.SetProgress([this] {
    return current_ != nullptr ? current_->ReceivedBytes() : std::size_t{ 0 };
  });
}

ConfigurationFeed::~ConfigurationFeed()
{
  links_.publisher.SetProgress({});
}

std::optional<Member>
ConfigurationFeed::ChooseSource()
{
  sources_.SetHoldsDuty(links_.holdsDuty());
  sources_.SetNotified(links_.isNotified());
  std::optional<Member> source = sources_.Choose(scheduler_.Now());
  if (std::exchange(requiresStore_, false))
    source.reset();
  const std::string name = source ? source->name : std::string();
  if (std::exchange(lastSource_, name) != name)
    log_("configuration_source", { { "source", source ? name : "store" } });
  metrics_.Count(source ? "configuration_requests_total{source=\"peer\"}"
                        : "configuration_requests_total{source=\"store\"}");
  return source;
}

Authority::ChangeFeed::RowsHandler
ConfigurationFeed::NoteOutcome(RowsHandler aDone)
{
  return [this, done = std::move(aDone)](Authority::StoreRows aRows) {
    const bool isAnswered = aRows.answer == Authority::StoreStatus::Done ||
                            aRows.answer == Authority::StoreStatus::HistoryGone;
    if (isAnswered)
      sources_.OnStoreAnswered();
    else
      sources_.OnStoreFailed();
    done(std::move(aRows));
  };
}

std::unique_ptr<Authority::PendingRequest>
ConfigurationFeed::ReadRows(const std::string& aTable,
                            const std::string& aFrom,
                            RowsHandler aDone)
{
  // Nobody has told of a newer configuration, but a node that has none, or may
  // have missed changes, must not wait for one source alone.
  sources_.OnNewerKnown(scheduler_.Now());
  // Further pages come from the source of the first one.
  const auto source = aFrom.empty() ? ChooseSource() : std::nullopt;
  if (source)
    return FetchFromPeer(*source, kShortWait, true, std::move(aDone));
  auto request = std::make_unique<Request>(*this);
  request->SetCall(
    links_.store.ReadRows(aTable, aFrom, NoteOutcome(std::move(aDone))));
  return request;
}

std::unique_ptr<Authority::PendingRequest>
ConfigurationFeed::AwaitChanges(const std::string& aTable,
                                std::uint64_t aAfter,
                                Core::Duration aWait,
                                RowsHandler aDone)
{
  if (const auto source = ChooseSource()) {
    const Core::Duration limit = aWait > kLongWait ? kLongWait : kShortWait;
    return FetchFromPeer(
      *source, std::min(aWait, limit), false, std::move(aDone));
  }
  // A node that reads the store in place of others soon asks them again.
  const Core::Duration wait =
    sources_.IsReader() ? aWait : std::min(aWait, kShortWait);
  auto request = std::make_unique<Request>(*this);
  request->SetCall(links_.store.AwaitChanges(
    aTable, aAfter, wait, NoteOutcome(std::move(aDone))));
  return request;
}

std::unique_ptr<Authority::PendingRequest>
ConfigurationFeed::FetchFromPeer(const Member& aMember,
                                 Core::Duration aWait,
                                 bool aRequiresRow,
                                 RowsHandler aDone)
{
  auto request = std::make_unique<Request>(*this);
  request->done = std::move(aDone);
  // A node whose history is gone may have the newest row already.
  request->requiresRow = aRequiresRow && links_.publisher.Version() == 0;
  request->FetchPart(aMember, aWait);
  return request;
}

bool
ConfigurationFeed::AddPart(const ConfigurationPart& aPart,
                           std::uint64_t aKnownVersion)
{
  const bool continues =
    transfer_.digest == aPart.digest && transfer_.knownVersion == aKnownVersion;
  if (!continues)
    transfer_ = { aPart.digest, aKnownVersion, {} };
  if (aPart.offset != transfer_.text.size() || aPart.size > kMaxContentBytes ||
      (aPart.text.empty() && aPart.size > transfer_.text.size())) {
    transfer_ = {};
    return false;
  }
  transfer_.text += aPart.text;
  return true;
}

std::optional<std::string>
ConfigurationFeed::ValueOf(const ConfigurationPart& aPart)
{
  std::string content = std::exchange(transfer_, {}).text;
  std::optional<std::string> value;
  if (aPart.isDelta)
    value = ApplyTextDeltas(links_.publisher.Value(), content);
  else
    value = std::move(content);
  if (value && ConfigurationPublisher::DigestOf(*value) == aPart.valueDigest) {
    acceptsDelta_ = true;
    return value;
  }
  // The next transfer is the whole row.
  acceptsDelta_ = false;
  log_("configuration_transfer_unusable",
       { { "version", aPart.version }, { "delta", aPart.isDelta } });
  return std::nullopt;
}

} // namespace Pooler
