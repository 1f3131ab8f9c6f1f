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

/** What an operator wants to change. */
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

/** One change of the fleet's configuration, as an operator orders it. */
struct ChangeOrder
{
  /** Names the change, so that a repeat of the order is recognised. */
  std::string id;
  /** The version that the operator saw; the change is refused on another. */
  std::uint64_t basedOn = 0;
  std::string reason;
  std::string author;
  EditKind kind = EditKind::SetDefault;
  /** SetDefault: "section.key". Others: the exception's name. */
  std::string name;
  std::string value;
  /** SetException: scope, key, value and reason. */
  Settings::SettingException exception;

  static std::optional<ChangeOrder> FromJson(const boost::json::object& aObject,
                                             Core::Findings& aFindings);
  std::string Summary() const;
};

enum class ChangeEnd
{
  Accepted,
  /** Another change came first. */
  Conflict,
  /** The result would not be a valid configuration; see the findings. */
  Invalid,
  /** The store can't be had; the change may or may not have been taken. */
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
 * The fleet's configuration in the table service: numbered versions changed
 * by compare-and-swap, each with its audit record in the same transaction.
 */
class ConfigurationStore
{
public:
  /** aWallClockMs gives the time for audit records. */
  ConfigurationStore(Platform::TableService& aTable,
                     std::function<std::int64_t()> aWallClockMs);

  /** Reads the present version; absent when the store can't be had. */
  void Load(
    std::function<void(std::optional<Membership::Configuration>)> aCallback);

  /** Makes the first version, unless there is one. */
  void Found(const std::string& aText, std::function<void()> aCallback);

  /** Carries an order out, at most once for its id. */
  void Change(const ChangeOrder& aOrder, ChangeCallback aCallback);

  /** Writes a record of something that has happened; tells if it is kept. */
  void Record(const std::string& aKeyEnd,
              boost::json::object aRecord,
              std::function<void(bool)> aCallback);

  /** The last aMost audit records, oldest first. */
  void Audit(std::size_t aMost, Platform::RowsCallback aCallback);

private:
  struct Attempt;
  using AttemptHandle = std::shared_ptr<Attempt>;

  void TryChange(const AttemptHandle& aAttempt);
  void TakePresent(const AttemptHandle& aAttempt,
                   const Platform::TableRow& aRow);
  void TakeCommit(const AttemptHandle& aAttempt, Platform::CommitEnd aEnd);
  /** After a lost answer or a conflict: was it this order after all? */
  void CheckOwn(const AttemptHandle& aAttempt, ChangeEnd aOtherwise);
  std::string AuditKey(const std::string& aKeyEnd) const;

  Platform::TableService& table_;
  std::function<std::int64_t()> wallClockMs_;
};

} // namespace Configuration
