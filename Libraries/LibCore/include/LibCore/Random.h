#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace Core {

/** A pseudo-random generator. The same seed reproduces the same run. */
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : engine_(aSeed)
  {
  }

  /** Returns a generator seeded by the operating system. */
  static Random FromSystem();

  /** Returns a number from 0 to aBound - 1. aBound must be positive. */
  std::uint64_t Below(std::uint64_t aBound);

  /** Returns true with probability aProbability (0 to 1). */
  bool Chance(double aProbability);

  /** Returns aDigits random lower-case hexadecimal digits. */
  std::string Hex(int aDigits);

  std::mt19937_64& Engine() { return engine_; }

private:
  std::mt19937_64 engine_;
};

} // namespace Core
