#pragma once

#include <LibSql/DatabaseLink.h>

#include <map>
#include <string>
#include <vector>

namespace Pooler {

using Values = std::map<std::string, std::string>;

/** A statement that a client has prepared. */
struct PreparedStatement
{
  /** What the client sent behind the name. */
  std::string preparedText;
  bool isWrite = false;
};
using PreparedStatements = std::map<std::string, PreparedStatement>;

/** What a connection to a database holds of the sessions that used it. */
class ConnectionState
{
public:
  /**
   * The commands after which the connection holds exactly aValues, and
   * aPreparedText (if not null) is prepared. The state is as after them.
   */
  std::vector<Sql::DatabaseCommand> Prepare(const Values& aValues,
                                            const std::string* aPreparedText);

  /**
   * The same, beginning with a command that clears the connection. Its answer
   * proves that the connection still works.
   */
  std::vector<Sql::DatabaseCommand> PrepareAnew(
    const Values& aValues,
    const std::string* aPreparedText);

  /** The connection's name for a shape that Prepare has prepared. */
  const std::string& NameOf(const std::string& aPreparedText) const;

  /** The state of a connection that another node has prepared as given. */
  void Adopt(const Values& aValues,
             const std::string* aPreparedText,
             const std::string& aPreparedName,
             std::uint64_t aLastName);

  /** The state is unknown; Prepare clears the connection first. */
  void Forget() { isUnknown_ = true; }

  /** True if Prepare has sent anything since Adopt. */
  bool IsChanged() const { return isChanged_; }

  /** Names with higher numbers are free. */
  std::uint64_t LastName() const { return lastName_; }

  /** True when Prepare would send nothing. */
  bool Fits(const Values& aValues, const std::string* aPreparedText) const;

private:
  bool HasSurplus(const Values& aValues) const;

  Values values_;
  /** Shapes, and the names that they were prepared under. */
  std::map<std::string, std::string> prepared_;
  std::uint64_t lastName_ = 0;
  bool isUnknown_ = false;
  bool isChanged_ = false;
};

} // namespace Pooler
