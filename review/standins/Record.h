#pragma once

#include <LibCore/Clock.h>

#include <fstream>
#include <string>

namespace Review {

/** The record of a run: one line an event, with the time since its start. */
class Record
{
public:
  explicit Record(const std::string& aPath);

  void Add(const std::string& aText);
  /** Milliseconds since the start. */
  long long Now() const;

private:
  Core::MonotonicClock clock_;
  Core::Instant start_;
  std::ofstream file_;
};

} // namespace Review
