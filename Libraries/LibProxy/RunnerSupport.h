#pragma once

#include <LibProxy/GroupHome.h>

namespace Proxy {

/** Returns the deadline of a request that arrived now. */
Core::Instant
DeadlineOf(GroupHome& aHome, const Request::StatementRequest& aRequest);

/** Returns an admission ticket for a request of aKind. */
Admission::Ticket
TicketOf(GroupHome& aHome, const std::string& aKind, Core::Instant aDeadline);

} // namespace Proxy
