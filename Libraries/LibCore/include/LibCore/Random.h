#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace Core {

/** Where decisions draw randomness from, so that a seed repeats a run. */
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : engine_(aSeed)
  {
  }

  /** A generator seeded by the operating system. */
  static Random FromSystem();

  /** A number below aBound, which must be positive. */
  std::uint64_t Below(std::uint64_t aBound);

  /** True with a chance of aProbability (0 to 1). */
  bool Chance(double aProbability);

  /** aDigits random hexadecimal digits. */
  std::string Hex(int aDigits);

  std::mt19937_64& Engine() { return engine_; }

private:
  std::mt19937_64 engine_;
};

} // namespace Core
