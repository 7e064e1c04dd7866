#ifndef COMPONENTS_SCHEDULER_RESERVATIONS_HPP
#define COMPONENTS_SCHEDULER_RESERVATIONS_HPP

#include "components/scheduler/context.hpp"

namespace scheduler
{

/// Starts reserved jobs that fit, and makes room for those whose reservation is due.
void startReserved(Context &context);

/// Reserves workers for the jobs that have waited longest, up to the number allowed.
void makeReservations(Context &context);

/// Moves gangs that can checkpoint out of the way of a reserved job, where that gains more than it loses.
void repack(Context &context);

/// What is free outside the reserved workers; a job that may outlast the reservations has to fit there.
placement::Pool poolOutsideReservations(const State &state);

/// When the first reservation is due.
fleet::TimePoint earliestDue(const State &state);

}

#endif
