#include <LibAuthority/SampleHistory.h>

#include <algorithm>

namespace Authority {

namespace {

/** Closer samples would cost memory and hardly lower the floors. */
constexpr Core::Duration kMinSpacing = std::chrono::milliseconds(25);

/**
 * Older samples are dropped. The limit is a few times the longest staleness
 * bound of the routes.
 */
constexpr Core::Duration kRetention = std::chrono::seconds(12);

/**
 * The clocks of two VMs drift apart by far less than this within a staleness
 * bound.
 */
constexpr Core::Duration kClockMargin = std::chrono::milliseconds(20);

} // namespace

void
SampleHistory::Add(Core::Instant aSentAt, const Session::LogPosition& aPosition)
{
  if (!samples_.empty() && aSentAt < samples_.back().sentAt + kMinSpacing)
    return;
  samples_.push_back({ aSentAt, aPosition });
  while (samples_.front().sentAt + kRetention < aSentAt)
    samples_.pop_front();
}

void
SampleHistory::Clamp(const std::vector<TermStart>& aStarts)
{
  for (Sample& sample : samples_)
    sample.position = ClampToTerms(sample.position, aStarts);
}

std::optional<Session::LogPosition>
SampleHistory::FloorFor(Core::Instant aNow, Core::Duration aBound) const
{
  const Core::Instant oldest = aNow - aBound + kClockMargin;
  const auto first =
    std::lower_bound(samples_.begin(),
                     samples_.end(),
                     oldest,
                     [](const Sample& aSample, Core::Instant aTime) {
                       return aSample.sentAt < aTime;
                     });
  if (first == samples_.end())
    return std::nullopt;
  return first->position;
}

std::optional<SampleHistory::Sample>
SampleHistory::NewestSample() const
{
  if (samples_.empty())
    return std::nullopt;
  return samples_.back();
}

std::optional<Core::Instant>
SampleHistory::Newest() const
{
  if (samples_.empty())
    return std::nullopt;
  return samples_.back().sentAt;
}

} // namespace Authority
