#pragma once

#include <LibAuthority/CandidateChoice.h>

namespace Authority {

/**
 * Returns a position that no acknowledged commit of the old primary lies above;
 * none if the replies so far don't prove one. Requires synchronous replicas.
 *
 * A commit was acknowledged once as many replicas as configured had received
 * it. So the longest log among the replicas has it, as soon as too few of them
 * are missing to have received it alone. Leaving replicas count like the
 * others, since they receive commits until they end, and so do those that the
 * platform no longer lists (SupervisedGroup::LogHolders). The end of the old
 * primary's own log is such a position, too.
 */
std::optional<Session::LogPosition>
AcknowledgedEnd(const CandidateView& aView);

/**
 * The end of the old primary's log, which it reported after the change began;
 * none if it has not replied.
 */
std::optional<Session::LogPosition>
OldPrimaryLogEnd(const CandidateView& aView);

} // namespace Authority
