#include <LibSql/Statement.h>

namespace Sql {

bool
ImpliesNotExecuted(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::Busy:
    case ErrorCode::Lagging:
    case ErrorCode::ReadOnly:
    case ErrorCode::NoStatement:
    case ErrorCode::WrongNode:
    case ErrorCode::ConnectionLimit:
    case ErrorCode::Malformed:
      return true;
    default:
      return false;
  }
}

} // namespace Sql
