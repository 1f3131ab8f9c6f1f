#pragma once

#include <LibCore/Clock.h>

#include <cstdint>

namespace Wire {

/** How far one direction of a connection has come. */
struct Progress
{
  /** Something has begun and isn't finished. */
  bool isUnfinished = false;
  /** The bytes that were moved so far. */
  std::uint64_t bytes = 0;
  /** How often something was finished so far. */
  std::uint64_t finished = 0;
};

/**
 * Notices a message or an answer that moves too slowly. What counts is the
 * number of bytes within a time, since single bytes can arrive forever.
 */
class ProgressWatch
{
public:
  /** This many bytes within the time limit are enough to go on. */
  static constexpr std::uint64_t kEnoughBytes = 64UL * 1024;

  /** Notes the state at aNow; returns whether aLimit has passed too slowly. */
  bool IsTooSlow(const Progress& aProgress,
                 Core::Instant aNow,
                 Core::Duration aLimit);

private:
  Progress before_;
  Core::Instant since_{};
};

} // namespace Wire
