#pragma once

#include <LibCore/Findings.h>
#include <LibPooler/Checkout.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Peers {

/** The other node's request still waits. */
struct CheckoutWaiting
{};

/** What is sent to the node that owns the connections. */
using ToOwner = std::variant<Pooler::CheckoutRequest,
                             Sql::DatabaseCommand,
                             Pooler::CheckoutReturn>;

/** What the owner sends. */
using FromOwner = std::variant<Pooler::CheckoutGrant,
                               Pooler::CheckoutRefusal,
                               CheckoutWaiting,
                               Sql::DatabaseReply>;

/** A statement or an answer of 1 MiB, with every byte escaped. */
inline constexpr std::size_t kMaxCheckoutLineBytes = 8UL * 1024 * 1024;

/** One message as a JSON object on a line, with the line's end. */
std::string
EncodeToOwner(const ToOwner& aMessage);
std::string
EncodeFromOwner(const FromOwner& aMessage);

/** Reads a line without its end; none, with findings, if it can't be read. */
std::optional<ToOwner>
DecodeToOwner(std::string_view aLine, Core::Findings& aFindings);
std::optional<FromOwner>
DecodeFromOwner(std::string_view aLine, Core::Findings& aFindings);

} // namespace Peers
