#include <LibCore/LastReason.h>

#include <utility>

namespace Core {

std::nullopt_t
LastReason::Set(std::string aText)
{
  text_ = std::move(aText);
  return std::nullopt;
}

} // namespace Core
