#ifndef COMPONENTS_SCHEDULER_RESERVATIONS_HPP
#define COMPONENTS_SCHEDULER_RESERVATIONS_HPP

#include "components/scheduler/context.hpp"

namespace scheduler
{

/// Starts reserved jobs that fit, and preempts gangs for those whose reservation is due.
void startReserved(Context &context);

/// Reserves workers for the jobs that have waited longest, up to `m_maxReservations`.
void makeReservations(Context &context);

/// Moves gangs that can checkpoint to other workers, so that a reserved job starts earlier, where the gain exceeds the loss.
void repack(Context &context);

/// Free capacity outside the reservations. A job that may run longer than until the first reservation is due has to fit
/// into it.
placement::Pool poolOutsideReservations(const State &state);

/// Returns when the first reservation is due; TimePoint::max() without reservations.
fleet::TimePoint earliestDue(const State &state);

}

#endif
