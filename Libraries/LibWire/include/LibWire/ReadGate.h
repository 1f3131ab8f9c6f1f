#pragma once

#include <LibCore/Scheduler.h>
#include <LibWire/ByteBudget.h>

#include <cstddef>
#include <memory>
#include <set>
#include <utility>

namespace Wire {

class ReadGate;

/** A connection whose reading a ReadGate can pause. */
class GatedReader
{
public:
  virtual ~GatedReader() = default;
  virtual void SetReading(bool aIsReading) = 0;
};

/** The bytes of one unfinished message that a reader holds. */
class GatedBytes
{
public:
  GatedBytes(std::shared_ptr<ReadGate> aGate, GatedReader& aReader);
  ~GatedBytes();
  GatedBytes(const GatedBytes&) = delete;
  GatedBytes& operator=(const GatedBytes&) = delete;

  /** May pause or resume this and other readers. */
  void Set(std::size_t aBytes);

private:
  friend class ReadGate;

  std::shared_ptr<ReadGate> gate_;
  GatedReader& reader_;
  std::size_t bytes_ = 0;
  bool isPaused_ = false;
};

/**
 * Bounds the bytes of the messages that many connections read at once: beyond
 * the bound, those with large messages wait, and only the one that has come the
 * furthest is read, as its end gives the most back. Small messages never wait.
 */
class ReadGate
{
public:
  ReadGate(Core::Scheduler& aScheduler, std::size_t aMostBytes)
    : scheduler_(aScheduler)
    , mostBytes_(aMostBytes)
  {
  }
  ReadGate(const ReadGate&) = delete;
  ReadGate& operator=(const ReadGate&) = delete;

  /** What aBudget holds counts against the bound as well. */
  void CountAlso(std::shared_ptr<const ByteBudget> aBudget)
  {
    others_ = std::move(aBudget);
  }

  /** The bytes of all parts, without those of CountAlso. */
  std::size_t Held() const { return held_; }

private:
  friend class GatedBytes;
  void Change(GatedBytes& aPart, std::size_t aBytes);
  bool IsOver() const;
  void Review();
  static void SetPaused(GatedBytes& aPart, bool aIsPaused);

  Core::Scheduler& scheduler_;
  std::size_t mostBytes_;
  std::shared_ptr<const ByteBudget> others_;
  std::size_t held_ = 0;
  /** The parts of messages that aren't small. */
  std::set<GatedBytes*> large_;
  /** Set while a reader is paused: what others hold shrinks unnoticed. */
  Core::TimerHandle review_;
};

} // namespace Wire
