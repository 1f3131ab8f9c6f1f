#pragma once

#include <LibCore/Findings.h>
#include <LibPooler/Checkout.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Peers {

/** Reports that the checkout request is still queued at the owner. */
struct CheckoutWaiting
{};

/** A message to the owner, the node that owns the connections. */
using MessageToOwner = std::variant<Pooler::CheckoutRequest,
                                    Sql::DatabaseCommand,
                                    Pooler::CheckoutReturn>;

/** A message from the owner to the node that checks out. */
using MessageFromOwner = std::variant<Pooler::CheckoutGrant,
                                      Pooler::CheckoutRefusal,
                                      CheckoutWaiting,
                                      Sql::DatabaseReply>;

/** Enough for a statement or reply of 1 MiB with every byte escaped. */
inline constexpr std::size_t kMaxCheckoutLineBytes = 8UL * 1024 * 1024;

/** Encodes a message as a JSON object on one line, terminated by CRLF. */
std::string
EncodeToOwner(const MessageToOwner& aMessage);
/** The same; a reply beyond kMaxCheckoutLineBytes becomes an error. */
std::string
EncodeFromOwner(const MessageFromOwner& aMessage);

/**
 * Decodes a line without its terminator. Returns none and adds findings if the
 * line is malformed.
 */
std::optional<MessageToOwner>
DecodeToOwner(std::string_view aLine, Core::Findings& aFindings);
std::optional<MessageFromOwner>
DecodeFromOwner(std::string_view aLine, Core::Findings& aFindings);

} // namespace Peers
