#include <LibAuthority/SampleHistory.h>

#include <algorithm>

namespace Authority {

namespace {

/** Samples closer together than this add memory and hardly any choice. */
constexpr Core::Duration kSpacing = std::chrono::milliseconds(25);

/** A few times the longest staleness that routes ask for. */
constexpr Core::Duration kKept = std::chrono::seconds(12);

/** Clocks of two VMs run at rates that differ by far less than this. */
constexpr Core::Duration kClockMargin = std::chrono::milliseconds(20);

} // namespace

void
SampleHistory::Add(Core::Instant aSentAt, const Session::LogPosition& aPosition)
{
  if (!samples_.empty() && aSentAt < samples_.back().sentAt + kSpacing)
    return;
  samples_.push_back({ aSentAt, aPosition });
  while (samples_.front().sentAt + kKept < aSentAt)
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
