#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Findings.h>
#include <LibMembership/FleetView.h>
#include <LibPlatform/TableService.h>
#include <LibSettings/FleetSettings.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Configuration {

/** The kinds of an operator's changes. */
enum class EditKind
{
  SetDefault,
  SetException,
  RemoveException,
};

inline constexpr Core::EnumNames<EditKind, 3> kEditKindNames{ {
  { { EditKind::SetDefault, "set" },
    { EditKind::SetException, "except" },
    { EditKind::RemoveException, "unexcept" } },
} };

/** An operator's order for one change of the fleet's configuration. */
struct ChangeOrder
{
  /** Identifies the change, so that a repeated order is applied once. */
  std::string id;
  /** The version that the operator saw. Refused if another is current. */
  std::uint64_t basedOn = 0;
  std::string reason;
  std::string author;
  EditKind kind = EditKind::SetDefault;
  /** SetDefault: "section.key". Others: the exception's name. */
  std::string name;
  std::string value;
  /** SetException: scope, key, value and reason. */
  Settings::SettingException exception;

  /** Reads an order. Adds a finding to aFindings for every invalid field. */
  static std::optional<ChangeOrder> FromJson(const boost::json::object& aObject,
                                             Core::Findings& aFindings);
  /** The change as one line of text, for the audit record. */
  std::string Summary() const;
};

/** The result of a change. */
enum class ChangeEnd
{
  Accepted,
  /** Another change was committed first. */
  Conflict,
  /** The result would not be a valid configuration; see the findings. */
  Invalid,
  /** The store is unavailable; the change may or may not be in effect. */
  Unavailable,
};

inline constexpr Core::EnumNames<ChangeEnd, 4> kChangeEndNames{ {
  { { ChangeEnd::Accepted, "accepted" },
    { ChangeEnd::Conflict, "conflict" },
    { ChangeEnd::Invalid, "invalid" },
    { ChangeEnd::Unavailable, "unavailable" } },
} };

struct ChangeResult
{
  ChangeEnd end = ChangeEnd::Unavailable;
  Membership::Configuration configuration;
  Core::Findings findings;
  std::string reason;
};
using ChangeCallback = std::function<void(ChangeResult)>;

/**
 * The fleet's configuration in the table service. A change replaces the
 * numbered version by compare-and-swap and writes its audit record in the same
 * transaction.
 */
class ConfigurationStore
{
public:
  /** aWallClockMs gives the time for audit records. */
  ConfigurationStore(Platform::TableService& aTable,
                     std::function<std::int64_t()> aWallClockMs);

  /** Reads the current version; absent if the store is unavailable. */
  void Load(
    std::function<void(std::optional<Membership::Configuration>)> aCallback);

  /** Stores aText as the first version, unless there is a version. */
  void CreateInitialVersion(const std::string& aText,
                            std::function<void()> aCallback);

  /** Applies an order, at most once per id. */
  void Change(const ChangeOrder& aOrder, ChangeCallback aCallback);

  /** Writes an audit record. aCallback gets true if it was committed. */
  void Record(const std::string& aKeyEnd,
              boost::json::object aRecord,
              std::function<void(bool)> aCallback);

  /** Reads the latest aMaximum audit records, oldest first. */
  void Audit(std::size_t aMaximum, Platform::RowsCallback aCallback);

private:
  struct Attempt;
  using AttemptHandle = std::shared_ptr<Attempt>;

  void TryChange(const AttemptHandle& aAttempt);
  void OnCurrentVersion(const AttemptHandle& aAttempt,
                        const Platform::TableRow& aRow);
  void OnCommitEnd(const AttemptHandle& aAttempt, Platform::CommitOutcome aEnd);
  /**
   * After a conflict or a lost response: accepted if the change's own row
   * exists, else aEndIfAbsent.
   */
  void CheckForOwnChange(const AttemptHandle& aAttempt, ChangeEnd aEndIfAbsent);
  std::string AuditKey(const std::string& aKeyEnd) const;

  Platform::TableService& table_;
  std::function<std::int64_t()> wallClockMs_;
};

} // namespace Configuration
