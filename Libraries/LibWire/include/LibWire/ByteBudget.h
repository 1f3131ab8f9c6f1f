#pragma once

#include <cstddef>
#include <memory>
#include <set>

namespace Wire {

class ByteBudget;

/** Receives the demand to give back what a connection holds. */
class BudgetListener
{
public:
  virtual ~BudgetListener() = default;
  /** The connection holds more than one may. It receives no further calls. */
  virtual void OnConnectionOverBudget() = 0;
  /**
   * All connections together hold too much, and this one holds the most. It
   * receives no further calls.
   */
  virtual void OnProcessOverBudget() = 0;
};

/** The bytes that one connection holds, as counted against a budget. */
class Holding
{
public:
  Holding(std::shared_ptr<ByteBudget> aBudget, BudgetListener& aListener);
  ~Holding();
  Holding(const Holding&) = delete;
  Holding& operator=(const Holding&) = delete;

  /** May call this or another connection's listener. */
  void Set(std::size_t aBytes);
  std::size_t Bytes() const { return bytes_; }

  /**
   * The connection is closing: its bytes count until the destruction, but the
   * listener receives no further calls.
   */
  void Detach() { listener_ = nullptr; }

private:
  friend class ByteBudget;

  std::shared_ptr<ByteBudget> budget_;
  BudgetListener* listener_;
  std::size_t bytes_ = 0;
};

/**
 * Bounds the bytes that the connections of a process hold, each one and all
 * together. Over the common bound, the connection that holds the most is asked
 * to give back first.
 */
class ByteBudget
{
public:
  ByteBudget(std::size_t aMostOfOne, std::size_t aMostOfAll)
    : maxPerConnection_(aMostOfOne)
    , maxTotal_(aMostOfAll)
  {
  }
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  std::size_t Held() const { return held_; }

private:
  friend class Holding;
  void Change(Holding& aHolding, std::size_t aBytes);
  void Relieve();
  /** The holding with the most bytes that can still give back; or null. */
  Holding* Largest() const;

  std::size_t maxPerConnection_;
  std::size_t maxTotal_;
  std::size_t held_ = 0;
  std::set<Holding*> holdings_;
};

} // namespace Wire
