#include <LibPooler/Access.h>

namespace Pooler {

Access
CheckKey(const Configuration& aConfiguration,
         const Route& aRoute,
         std::string_view aKey,
         bool aIsProven)
{
  const bool needsKey = aConfiguration.requiresKeys && !aRoute.isPublic;
  if (needsKey && !aIsProven)
    return { AccessDecision::KeysUnproven, "" };
  const auto customer = aConfiguration.customerOfKey.find(aKey);
  const bool isKnown = customer != aConfiguration.customerOfKey.end();
  if (isKnown)
    return { AccessDecision::Granted, customer->second };
  if (!needsKey)
    return {};
  return { AccessDecision::UnknownKey, "" };
}

std::optional<Sql::Error>
ErrorOnAccess(AccessDecision aDecision)
{
  switch (aDecision) {
    case AccessDecision::Granted:
      return std::nullopt;
    case AccessDecision::UnknownKey:
      return Sql::Error{ Sql::ErrorCode::Unauthorized, "the key isn't known" };
    case AccessDecision::KeysUnproven:
      return Sql::Error{ Sql::ErrorCode::Busy,
                         "this node can't prove that the key is valid" };
  }
  return std::nullopt;
}

} // namespace Pooler
