#pragma once

#include <LibSql/DatabaseLink.h>

#include <map>
#include <string>
#include <vector>

namespace Pooler {

/** Session values by name, as set by the client. */
using Values = std::map<std::string, std::string>;

/** A statement that a client has prepared. */
struct PreparedStatement
{
  /** What follows the name in the client's statement, verbatim. */
  std::string preparedText;
  /** Executing it changes data. */
  bool isWrite = false;
};
/** Prepared statements by the name that the client gave them. */
using PreparedStatements = std::map<std::string, PreparedStatement>;

/** True if a command changes session values or prepared statements. */
bool
ChangesState(Sql::CommandKind aKind);

/**
 * The session values and prepared statements that a database holds for one
 * connection. Sessions share connections, so the state is brought up to date
 * before each use.
 */
class ConnectionState
{
public:
  /**
   * Returns the commands after which the connection holds exactly aValues, and
   * aPreparedText (if not null) is prepared. Updates the state as if they had
   * succeeded.
   */
  std::vector<Sql::DatabaseCommand> Prepare(const Values& aValues,
                                            const std::string* aPreparedText);

  /**
   * Like Prepare, but always begins with a command that clears the connection.
   * The reply to it validates that the connection still works.
   */
  std::vector<Sql::DatabaseCommand> ResetAndPrepare(
    const Values& aValues,
    const std::string* aPreparedText);

  /** Returns the name under which Prepare has prepared aPreparedText. */
  const std::string& NameOf(const std::string& aPreparedText) const;

  /**
   * Takes over the state of a connection that another node has prepared.
   * aLastName is that node's LastName() for the connection.
   */
  void Adopt(const Values& aValues,
             const std::string* aPreparedText,
             const std::string& aPreparedName,
             std::uint64_t aLastName);

  /** Marks the state unknown, so that Prepare clears the connection first. */
  void Forget() { isUnknown_ = true; }

  /** Records that a command which changes the state has been sent. */
  void MarkChanged() { isChanged_ = true; }
  /** True if the state has been changed since Adopt. */
  bool IsChanged() const { return isChanged_; }

  /**
   * The highest number used in the name of a prepared statement. Names with
   * higher numbers are free.
   */
  std::uint64_t LastName() const { return lastName_; }

  /** True if Prepare would return no commands. */
  bool Fits(const Values& aValues, const std::string* aPreparedText) const;

private:
  /** True if the connection holds a value that isn't in aValues. */
  bool HasExtraValues(const Values& aValues) const;
  /** True if too much is prepared for aPreparedText to be added. */
  bool IsFull(const std::string* aPreparedText) const;

  Values values_;
  /** The names of the prepared statements, by prepared text. */
  std::map<std::string, std::string> prepared_;
  std::uint64_t lastName_ = 0;
  bool isUnknown_ = false;
  bool isChanged_ = false;
};

} // namespace Pooler
