#pragma once

#include <LibCore/Loop.h>
#include <LibPooler/Checkout.h>

namespace Peers {

/**
 * Opens channels to other nodes to check out their database connections. The
 * messages are JSON lines over TCP.
 */
class CheckoutClient final : public Pooler::CheckoutDialer
{
public:
  explicit CheckoutClient(Core::Loop& aLoop)
    : loop_(aLoop)
  {
  }

  std::unique_ptr<Pooler::CheckoutChannel> Open(
    const Wire::Address& aAddress,
    Pooler::CheckoutListener& aListener) override;

private:
  Core::Loop& loop_;
};

} // namespace Peers
