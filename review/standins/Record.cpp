#include "Record.h"

#include <iomanip>

namespace Review {

Record::Record(const std::string& aPath)
  : start_(clock_.Now())
  , file_(aPath)
{
}

long long
Record::Now() const
{
  return Core::ToMilliseconds(clock_.Now() - start_);
}

void
Record::Add(const std::string& aText)
{
  file_ << std::setw(6) << Now() << " ms  " << aText << std::endl;
}

} // namespace Review
