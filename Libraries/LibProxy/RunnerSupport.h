#pragma once

#include <LibProxy/GroupHome.h>

namespace Proxy {

/** The deadline of a request that came in now. */
Core::Instant
DeadlineOf(GroupHome& aHome, const Request::StatementRequest& aRequest);

/** A ticket for aRequest's kind. */
Admission::Ticket
TicketOf(GroupHome& aHome, const std::string& aKind, Core::Instant aDeadline);

} // namespace Proxy
