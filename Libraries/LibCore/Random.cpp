#include <LibCore/Random.h>

namespace Core {

Random
Random::FromSystem()
{
  std::random_device device;
  return Random((static_cast<std::uint64_t>(device()) << 32U) ^ device());
}

std::uint64_t
Random::Below(std::uint64_t aBound)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(engine_);
}

bool
Random::Chance(double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(engine_) < aProbability;
}

std::string
Random::Hex(int aDigits)
{
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (int i = 0; i < aDigits; ++i)
    text += kDigits[Below(16)];
  return text;
}

} // namespace Core
