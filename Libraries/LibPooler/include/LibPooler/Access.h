#pragma once

#include <LibCore/EnumNames.h>
#include <LibPooler/Fleet.h>
#include <LibSql/Statement.h>

#include <optional>
#include <string>

namespace Pooler {

/** Whether a client's key allows its statements. */
enum class AccessDecision
{
  Granted,
  /** No customer has the key, or it has been withdrawn. */
  UnknownKey,
  /** The key may have been withdrawn without this node knowing it. */
  KeysUnproven,
};

inline constexpr Core::EnumNames<AccessDecision, 3> kAccessDecisionNames{ {
  { { AccessDecision::Granted, "granted" },
    { AccessDecision::UnknownKey, "unknown_key" },
    { AccessDecision::KeysUnproven, "keys_unproven" } },
} };

/** What a client's key allows at one moment. */
struct Access
{
  AccessDecision decision = AccessDecision::Granted;
  /** The customer that holds the key; empty if no customer has it. */
  std::string customer;
};

/**
 * Decides by the configuration. aIsProven is false if withdrawals have to take
 * effect within a bound and the configuration may be older than that: then
 * neither a known nor an unknown key can be told from a withdrawn or added one.
 */
Access
CheckKey(const Configuration& aConfiguration,
         const Route& aRoute,
         std::string_view aKey,
         bool aIsProven = true);

/** The error for a statement that isn't granted; it never names the key. */
std::optional<Sql::Error>
ErrorOnAccess(AccessDecision aDecision);

} // namespace Pooler
