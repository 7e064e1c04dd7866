#ifndef COMPONENTS_SCHEDULER_QUEUE_HPP
#define COMPONENTS_SCHEDULER_QUEUE_HPP

#include "components/scheduler/context.hpp"
#include "components/scheduler/events.hpp"

#include <string>

namespace scheduler
{

/// Adds a job to the queue. Ignores repeated arrivals and jobs that have ended.
void admitJob(Context &context, const JobArrived &event);

/// Cancels a job in any phase. A cancellation that arrives before the job is remembered and applied on arrival.
void cancelJob(Context &context, const JobCancelRequested &event);

/// Emits JobEnded and removes the job.
void endJob(Context &context, Job &job, JobOutcome outcome, const std::string &reason);

void enqueue(State &state, const Job &job, fleet::TimePoint now);
/// Removes the job from the queue and drops its reservation.
void dequeue(State &state, const Job &job);

/// Returns jobs whose retry delay is over to the groups that may start.
void releaseDelayed(State &state, fleet::TimePoint now);

/// Returns the groups to try in this pass, in order of their keys.
std::vector<const GroupKey *> groupsToTry(const Context &context);

GroupKey groupKey(const fleet::JobSpec &spec);

/// Drops the entries of ended jobs and early cancellations after the retention time.
void expireEnded(Context &context);

}

#endif
