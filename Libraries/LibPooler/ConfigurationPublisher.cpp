#include <LibPooler/ConfigurationPublisher.h>

#include <LibCore/Hash.h>
#include <LibPooler/TextDelta.h>

#include <algorithm>
#include <utility>

namespace Pooler {

namespace {

/** Returns where a part that begins at aOffset ends: never inside a letter. */
std::size_t
EndOfPart(std::string_view aText, std::size_t aOffset)
{
  constexpr unsigned kContinuationMask = 0xC0;
  constexpr unsigned kContinuation = 0x80;
  constexpr std::size_t kMaxLetterBytes = 4;
  const std::size_t limit =
    std::min(aText.size(), aOffset + ConfigurationPublisher::kPartBytes);
  std::size_t end = limit;
  while (end < aText.size() && end > aOffset && limit - end < kMaxLetterBytes &&
         (static_cast<unsigned char>(aText[end]) & kContinuationMask) ==
           kContinuation)
    --end;
  return end;
}

} // namespace

ConfigurationPublisher::ConfigurationPublisher(Core::Scheduler& aScheduler,
                                               Metrics::Registry& aMetrics)
  : scheduler_(aScheduler)
  , metrics_(aMetrics)
{
}

std::uint64_t
ConfigurationPublisher::DigestOf(std::string_view aText)
{
  // Fits a signed integer, as the messages of peers require.
  return Core::StableHash(aText) >> 1U;
}

void
ConfigurationPublisher::SetRow(std::uint64_t aVersion, std::string aValue)
{
  if (aVersion <= version_)
    return;
  RecordStep(aValue);
  version_ = aVersion;
  value_ = std::move(aValue);
  valueDigest_ = DigestOf(value_);
  const Core::Instant expired = scheduler_.Now() - kContentLifetime;
  contents_.remove_if(
    [expired](const Content& aContent) { return aContent.usedAt < expired; });
  for (auto& [number, waiter] : std::exchange(waiters_, {}))
    waiter.reply(PartFor(waiter.request));
}

void
ConfigurationPublisher::RecordStep(const std::string& aNext)
{
  if (version_ == 0)
    return;
  Step step{ version_, MakeTextDelta(value_, aNext), 0 };
  step.size = boost::json::serialize(step.delta).size();
  steps_.push_back(std::move(step));
  std::size_t total = 0;
  for (const Step& kept : steps_)
    total += kept.size;
  // Deltas that are as large as the row are of no use.
  while (!steps_.empty() &&
         (steps_.size() > kMaxDeltas || total >= aNext.size())) {
    total -= steps_.front().size;
    steps_.pop_front();
  }
}

std::optional<std::string>
ConfigurationPublisher::DeltasSince(std::uint64_t aVersion) const
{
  auto step =
    std::find_if(steps_.begin(), steps_.end(), [aVersion](const Step& aStep) {
      return aStep.before == aVersion;
    });
  if (aVersion == 0 || step == steps_.end())
    return std::nullopt;
  boost::json::array deltas;
  for (; step != steps_.end(); ++step)
    deltas.push_back(step->delta);
  return boost::json::serialize(deltas);
}

ConfigurationPublisher::Content&
ConfigurationPublisher::AddContent(std::uint64_t aKnownVersion,
                                   std::string aText)
{
  Content content;
  content.knownVersion = aKnownVersion;
  content.version = version_;
  content.storeVersion = storeVersion_;
  content.valueDigest = valueDigest_;
  content.digest = DigestOf(aText);
  content.text = std::move(aText);
  contents_.push_back(std::move(content));
  return contents_.back();
}

ConfigurationPublisher::Content&
ConfigurationPublisher::ContentFor(const ConfigurationRequest& aRequest)
{
  const auto find = [this](const auto& aMatches) {
    return std::find_if(contents_.begin(), contents_.end(), aMatches);
  };
  if (aRequest.offset > 0) {
    const auto begun = find([&aRequest](const Content& aContent) {
      return aContent.digest == aRequest.digest;
    });
    if (begun != contents_.end())
      return *begun;
  }
  const auto findFor = [this, &find](std::uint64_t aKnownVersion) {
    return find([this, aKnownVersion](const Content& aContent) {
      return aContent.version == version_ &&
             aContent.knownVersion == aKnownVersion;
    });
  };
  if (aRequest.acceptsDelta && aRequest.knownVersion != 0) {
    const auto made = findFor(aRequest.knownVersion);
    if (made != contents_.end())
      return *made;
    if (auto deltas = DeltasSince(aRequest.knownVersion))
      return AddContent(aRequest.knownVersion, std::move(*deltas));
  }
  const auto whole = findFor(0);
  return whole != contents_.end() ? *whole : AddContent(0, value_);
}

ConfigurationPart
ConfigurationPublisher::PartFor(const ConfigurationRequest& aRequest)
{
  Content& content = ContentFor(aRequest);
  content.usedAt = scheduler_.Now();
  const bool continues =
    aRequest.digest == content.digest && aRequest.offset <= content.text.size();
  ConfigurationPart part;
  part.isAnswered = true;
  part.version = content.version;
  part.storeVersion = content.storeVersion;
  part.isDelta = content.knownVersion != 0;
  part.digest = content.digest;
  part.valueDigest = content.valueDigest;
  part.size = content.text.size();
  part.offset = continues ? aRequest.offset : 0;
  part.text = content.text.substr(
    part.offset, EndOfPart(content.text, part.offset) - part.offset);
  metrics_.Count("configuration_sent_bytes_total", part.text.size());
  return part;
}

ConfigurationPart
ConfigurationPublisher::NothingNewer() const
{
  ConfigurationPart part;
  part.isAnswered = true;
  part.storeVersion = storeVersion_;
  part.receivingBytes = progress_ ? progress_() : 0;
  return part;
}

void
ConfigurationPublisher::Answer(const ConfigurationRequest& aRequest,
                               Reply aReply)
{
  if (version_ > aRequest.knownVersion) {
    aReply(PartFor(aRequest));
    return;
  }
  if (aRequest.wait <= Core::Duration::zero()) {
    aReply(NothingNewer());
    return;
  }
  const std::uint64_t number = ++lastWaiter_;
  Waiter& waiter = waiters_[number];
  waiter = { aRequest, std::move(aReply), nullptr };
  waiter.timer = scheduler_.After(aRequest.wait, [this, number] {
    const auto node = waiters_.extract(number);
    node.mapped().reply(NothingNewer());
  });
}

} // namespace Pooler
