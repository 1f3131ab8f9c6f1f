#pragma once

#include <optional>
#include <string>

namespace Core {

/**
 * The error message of the most recent failed call.
 *
 * A function that can fail returns std::optional and takes a LastReason. When
 * it returns std::nullopt, it has set a message that operators can understand.
 */
class LastReason
{
public:
  /** Stores aText. Returns std::nullopt for use in a return statement. */
  std::nullopt_t Set(std::string aText);

  /** Returns the stored message; empty if no call has failed. */
  const std::string& Text() const { return text_; }

private:
  std::string text_;
};

} // namespace Core
