#ifndef COMPONENTS_SCHEDULER_GANGS_HPP
#define COMPONENTS_SCHEDULER_GANGS_HPP

#include "components/scheduler/context.hpp"
#include "components/scheduler/placement_decision.hpp"

#include <string>

namespace scheduler
{

/// Begins a new attempt at the job on the given workers. Reserve is sent for all tasks as soon as the workers have
/// capacity for them beside the leases that may still exist there.
void beginAttempt(Context &context, Job &job, const PlacementDecision &decision);

/// Preempts a gang: stops it, after a checkpoint if it is running and can write one.
void preempt(Context &context, Job &job, const std::string &reason);

/// Sends Reserve for claiming attempts whose workers have capacity now.
void advanceClaims(Context &context);

/// Stops every task of the attempt that is not over. Keeps the first reason given, except that a cancellation replaces it.
void endAttempt(Context &context, Job &job, AttemptEnd end, const std::string &reason);

/// Marks the lease of one task as over and releases the task's allocation.
void endTask(Context &context, Job &job, int task);

/// Makes the phase changes of changed jobs: start once all tasks are reserved, adoption, end of an attempt.
void advanceGangs(Context &context);

/// Renews the leases of each gang, all or none, and handles answers that did not arrive in time.
void tickGangs(Context &context);

/// Sends Forget for the final statuses of the attempt. To be called after AttemptEnded or JobEnded was emitted.
void forgetRetained(Context &context, Job &job);

/// Sends one command about a task of the current attempt. Reserve, Start and Renew carry the lease length.
void sendCommand(Context &context, Job &job, int task, CommandKind kind);

}

#endif
