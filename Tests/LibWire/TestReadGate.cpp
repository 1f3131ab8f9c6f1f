#define BOOST_TEST_MODULE ReadGate
#include <boost/test/unit_test.hpp>

#include "../Simulation/VirtualTime.h"

#include <LibWire/ReadGate.h>

#include <optional>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMostBytes = 1'000'000;
constexpr std::size_t kSmall = 60'000;
constexpr std::size_t kLarge = 400'000;

class FakeReader : public Wire::GatedReader
{
public:
  explicit FakeReader(const std::shared_ptr<Wire::ReadGate>& aGate)
  {
    held.emplace(aGate, *this);
  }
  void SetReading(bool aIsReading) override { isReading = aIsReading; }

  bool isReading = true;
  std::optional<Wire::GatedBytes> held;
};

class NoListener : public Wire::BudgetListener
{
public:
  void OnConnectionOverBudget() override {}
  void OnProcessOverBudget() override {}
};

struct Fixture
{
  ~Fixture() { time.Close(); }

  Simulation::VirtualTime time;
  std::shared_ptr<Wire::ReadGate> gate =
    std::make_shared<Wire::ReadGate>(time, kMostBytes);
  FakeReader first{ gate };
  FakeReader second{ gate };
  FakeReader third{ gate };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Gate, Fixture)

/**
 * Guards against readers that all wait for each other: over the bound, the one
 * that has come the furthest goes on.
 */
BOOST_AUTO_TEST_CASE(OverTheBoundOnlyTheFurthestIsRead)
{
  first.held->Set(kLarge);
  second.held->Set(kLarge);
  BOOST_TEST(first.isReading);
  BOOST_TEST(second.isReading);
  third.held->Set(kLarge + 1);
  BOOST_TEST(!first.isReading);
  BOOST_TEST(!second.isReading);
  BOOST_TEST(third.isReading);
  third.held->Set(0);
  BOOST_TEST(first.isReading);
  BOOST_TEST(second.isReading);
  BOOST_TEST(third.isReading);
}

/** Guards against ordinary answers that wait because of others' large ones. */
BOOST_AUTO_TEST_CASE(SmallMessagesNeverWait)
{
  first.held->Set(2 * kMostBytes);
  second.held->Set(kSmall);
  BOOST_TEST(second.isReading);
  second.held->Set(0);
  BOOST_TEST(second.isReading);
}

/** Guards against readers that wait for one that has gone. */
BOOST_AUTO_TEST_CASE(OthersGoOnAfterTheFurthestHasGone)
{
  first.held->Set(kLarge);
  second.held->Set(kMostBytes);
  BOOST_TEST(!first.isReading);
  second.held.reset();
  time.RunUntil(time.Now() + 100ms);
  BOOST_TEST(first.isReading);
}

BOOST_AUTO_TEST_CASE(WhatClientsHaveNotReadCountsAsWell)
{
  NoListener listener;
  const auto budget =
    std::make_shared<Wire::ByteBudget>(10 * kMostBytes, 10 * kMostBytes);
  gate->CountAlso(budget);
  Wire::Holding unread(budget, listener);
  unread.Set(kLarge);
  first.held->Set(kLarge);
  second.held->Set(kLarge - 1);
  BOOST_TEST(first.isReading);
  BOOST_TEST(!second.isReading);
  unread.Set(0);
  time.RunUntil(time.Now() + 100ms);
  BOOST_TEST(second.isReading);
}

BOOST_AUTO_TEST_SUITE_END()
