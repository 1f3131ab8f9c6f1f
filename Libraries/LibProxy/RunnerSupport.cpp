#include "RunnerSupport.h"

namespace Proxy {

Core::Instant
DeadlineOf(GroupHome& aHome, const Request::StatementRequest& aRequest)
{
  const Core::Duration time =
    aRequest.deadline.value_or(aHome.Fleet().Milliseconds(
      "kind.deadline_ms", aHome.ScopeOf(aRequest.kind)));
  return aHome.Context().loop.Now() + time;
}

Admission::Ticket
TicketOf(GroupHome& aHome, const std::string& aKind, Core::Instant aDeadline)
{
  Admission::Ticket ticket;
  ticket.kind = aKind;
  ticket.weight = aHome.Fleet().Integer("kind.weight", aHome.ScopeOf(aKind));
  ticket.deadline = aDeadline;
  return ticket;
}

} // namespace Proxy
