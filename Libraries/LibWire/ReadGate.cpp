#include <LibWire/ReadGate.h>

#include <algorithm>
#include <utility>

namespace Wire {

namespace {

/** A message of which no more than this has been read never waits. */
constexpr std::size_t kSmallBytes = 64UL * 1024;

/** How often paused readers are reviewed. */
constexpr Core::Duration kReviewInterval = std::chrono::milliseconds(20);

} // namespace

GatedBytes::GatedBytes(std::shared_ptr<ReadGate> aGate, GatedReader& aReader)
  : gate_(std::move(aGate))
  , reader_(aReader)
{
}

GatedBytes::~GatedBytes()
{
  gate_->held_ -= bytes_;
  gate_->large_.erase(this);
}

void
GatedBytes::Set(std::size_t aBytes)
{
  gate_->Change(*this, aBytes);
}

void
ReadGate::Change(GatedBytes& aPart, std::size_t aBytes)
{
  held_ = held_ - aPart.bytes_ + aBytes;
  aPart.bytes_ = aBytes;
  if (aBytes > kSmallBytes) {
    large_.insert(&aPart);
  } else {
    large_.erase(&aPart);
    SetPaused(aPart, false);
  }
  if (review_ != nullptr || (!large_.empty() && IsOver()))
    Review();
}

bool
ReadGate::IsOver() const
{
  return held_ + (others_ != nullptr ? others_->Held() : 0) > mostBytes_;
}

void
ReadGate::Review()
{
  const bool isOver = IsOver();
  const auto furthest =
    std::max_element(large_.begin(),
                     large_.end(),
                     [](const GatedBytes* aFirst, const GatedBytes* aSecond) {
                       return aFirst->bytes_ < aSecond->bytes_;
                     });
  bool hasPaused = false;
  for (GatedBytes* part : large_) {
    SetPaused(*part, isOver && part != *furthest);
    hasPaused = hasPaused || part->isPaused_;
  }
  if (!hasPaused)
    review_.reset();
  else if (review_ == nullptr)
    review_ = scheduler_.Every(kReviewInterval, [this] { Review(); });
}

void
ReadGate::SetPaused(GatedBytes& aPart, bool aIsPaused)
{
  if (std::exchange(aPart.isPaused_, aIsPaused) != aIsPaused)
    aPart.reader_.SetReading(!aIsPaused);
}

} // namespace Wire
