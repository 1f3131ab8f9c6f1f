#include <LibWire/ByteBudget.h>

#include <utility>

namespace Wire {

Holding::Holding(std::shared_ptr<ByteBudget> aBudget, BudgetListener& aListener)
  : budget_(std::move(aBudget))
  , listener_(&aListener)
{
  budget_->holdings_.insert(this);
}

Holding::~Holding()
{
  budget_->held_ -= bytes_;
  budget_->holdings_.erase(this);
}

void
Holding::Set(std::size_t aBytes)
{
  budget_->Change(*this, aBytes);
}

void
ByteBudget::Change(Holding& aHolding, std::size_t aBytes)
{
  held_ = held_ - aHolding.bytes_ + aBytes;
  aHolding.bytes_ = aBytes;
  if (aBytes > maxPerConnection_ && aHolding.listener_ != nullptr) {
    std::exchange(aHolding.listener_, nullptr)->OnConnectionOverBudget();
    return;
  }
  Relieve();
}

void
ByteBudget::Relieve()
{
  while (held_ > maxTotal_) {
    Holding* largest = Largest();
    if (largest == nullptr)
      return;
    std::exchange(largest->listener_, nullptr)->OnProcessOverBudget();
  }
}

Holding*
ByteBudget::Largest() const
{
  Holding* largest = nullptr;
  for (Holding* holding : holdings_) {
    if (holding->listener_ == nullptr || holding->bytes_ == 0)
      continue;
    if (largest == nullptr || holding->bytes_ > largest->bytes_)
      largest = holding;
  }
  return largest;
}

} // namespace Wire
