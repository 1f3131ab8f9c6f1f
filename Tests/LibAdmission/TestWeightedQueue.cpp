#define BOOST_TEST_MODULE WeightedQueue
#include <LibAdmission/RetryBudget.h>
#include <LibAdmission/WeightedQueue.h>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Admission;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxLength = 100;

Ticket
MakeTicket(std::uint64_t aNumber,
           const std::string& aKind,
           std::int64_t aWeight,
           Core::Instant aDeadline = Core::Instant(std::chrono::hours(1)))
{
  return { aNumber, aKind, aWeight, aDeadline };
}

} // namespace

BOOST_AUTO_TEST_CASE(KindsShareSlotsByWeightWithoutStarvation)
{
  WeightedQueue queue({ QueueOrder::Weighted, kMaxLength, 1 });
  for (std::uint64_t i = 0; i < 40; ++i) {
    queue.Offer(MakeTicket(i * 2, "light", 1), {});
    queue.Offer(MakeTicket(i * 2 + 1, "heavy", 4), {});
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 40; ++i)
    ++served[queue.Next()->kind];
  BOOST_TEST(served["heavy"] >= 31);
  BOOST_TEST(served["light"] >= 7);
}

BOOST_AUTO_TEST_CASE(ArrivalOrderIgnoresWeights)
{
  WeightedQueue queue({ QueueOrder::Arrival, kMaxLength, 1 });
  queue.Offer(MakeTicket(1, "light", 1), {});
  queue.Offer(MakeTicket(2, "heavy", 9), {});
  BOOST_TEST(queue.Next()->number == 1U);
  BOOST_TEST(queue.Next()->number == 2U);
}

BOOST_AUTO_TEST_CASE(TicketThatCannotMeetItsDeadlineIsRefused)
{
  WeightedQueue queue({ QueueOrder::Arrival, kMaxLength, 1 });
  for (std::uint64_t i = 0; i < 50; ++i)
    queue.Offer(MakeTicket(i, "k", 1), {});
  const auto refusal =
    queue.Offer(MakeTicket(99, "k", 1, Core::Instant(milliseconds(20))), {});
  BOOST_REQUIRE(refusal);
  BOOST_TEST(refusal->number == 99U);
  BOOST_TEST(refusal->retryAfter.count() > 0);
}

BOOST_AUTO_TEST_CASE(FullQueueDropsTicketOfLowestWeight)
{
  WeightedQueue queue({ QueueOrder::Weighted, 2, 1 });
  queue.Offer(MakeTicket(1, "light", 1), {});
  queue.Offer(MakeTicket(2, "middle", 5), {});
  const auto dropped = queue.Offer(MakeTicket(3, "heavy", 9), {});
  BOOST_REQUIRE(dropped);
  BOOST_TEST(dropped->number == 1U);
  const auto refused = queue.Offer(MakeTicket(4, "light", 1), {});
  BOOST_REQUIRE(refused);
  BOOST_TEST(refused->number == 4U);
}

BOOST_AUTO_TEST_CASE(ExpiredTicketsAreReturned)
{
  WeightedQueue queue({ QueueOrder::Weighted, kMaxLength, 1 });
  queue.Offer(MakeTicket(1, "k", 1, Core::Instant(milliseconds(50))), {});
  BOOST_TEST(queue.Expire(Core::Instant(milliseconds(49))).empty());
  const auto expired = queue.Expire(Core::Instant(milliseconds(50)));
  BOOST_REQUIRE(expired.size() == 1U);
  BOOST_TEST(queue.Length() == 0U);
}

BOOST_AUTO_TEST_CASE(RetriesAreLimitedToShareOfFirstAttempts)
{
  RetryBudget budget(10);
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    budget.RecordFirstAttempt();
    while (budget.TryRetry())
      ++retries;
  }
  BOOST_TEST(retries >= 1000);
  BOOST_TEST(retries <= 1010);
}
