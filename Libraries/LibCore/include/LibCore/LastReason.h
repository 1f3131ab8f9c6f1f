#pragma once

#include <optional>
#include <string>

namespace Core {

/**
 * Why the most recent fallible call gave no value.
 *
 * A fallible function returns std::optional and takes a LastReason; when it
 * returns std::nullopt it has set the reason, in words fit for an operator.
 */
class LastReason
{
public:
  /** Records aText and returns std::nullopt, so that a caller can return it. */
  std::nullopt_t Set(std::string aText);

  /** The recorded reason; empty while nothing has failed. */
  const std::string& Text() const { return text_; }

private:
  std::string text_;
};

} // namespace Core
