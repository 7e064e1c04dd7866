#ifndef COMPONENTS_SCHEDULER_QUEUE_HPP
#define COMPONENTS_SCHEDULER_QUEUE_HPP

#include "components/scheduler/context.hpp"
#include "components/scheduler/events.hpp"

#include <string>

namespace scheduler
{

/// Takes in a job; repeats and jobs that ended are ignored.
void admitJob(Context &context, const JobArrived &event);

/// Cancels a job at whatever step it is; a cancellation that comes before the job is kept for it.
void cancelJob(Context &context, const JobCancelRequested &event);

/// Ends the job for good and drops it.
void endJob(Context &context, Job &job, JobOutcome outcome, const std::string &reason);

void enqueue(State &state, const Job &job, fleet::TimePoint now);
/// Takes the job out of the queue and drops its reservation.
void dequeue(State &state, const Job &job);

/// Puts jobs back among those that may start when their retry wait is over.
void releaseDelayed(State &state, fleet::TimePoint now);

/// The groups to try in this pass, in order of their keys.
std::vector<const GroupKey *> groupsToTry(const Context &context);

GroupKey groupKey(const fleet::JobSpec &spec);

/// Drops what was kept about ended jobs after the retention time.
void expireEnded(Context &context);

}

#endif
