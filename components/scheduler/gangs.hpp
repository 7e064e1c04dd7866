#ifndef COMPONENTS_SCHEDULER_GANGS_HPP
#define COMPONENTS_SCHEDULER_GANGS_HPP

#include "components/scheduler/context.hpp"
#include "components/scheduler/placement_decision.hpp"

#include <string>

namespace scheduler
{

/// Makes a new attempt at the job on the workers assigned. Reserve is sent for every task as soon as the workers have
/// room for all of them beside the leases that may still exist there.
void beginAttempt(Context &context, Job &job, const PlacementDecision &decision);

/// Stops a running gang to make room, after a checkpoint where it can write one.
void preempt(Context &context, Job &job, const std::string &reason);

/// Sends Reserve for the claims whose workers have room by now.
void advanceClaims(Context &context);

/// Stops every task of the attempt that is not over. The first reason stays, but for a cancellation.
void endAttempt(Context &context, Job &job, AttemptEnd end, const std::string &reason);

/// Notes that the lease of one task is certainly over, and frees what it had booked.
void endTask(Context &context, Job &job, int task);

/// Makes the transitions that are due for the jobs touched: start behind the barrier, adoption, the end of an attempt.
void advanceGangs(Context &context);

/// Renews leases, all of a gang or none, and deals with answers that did not come in time.
void tickGangs(Context &context);

/// Sends Forget for the final statuses of the attempt, once the job's own end or the attempt's was emitted.
void forgetRetained(Context &context, Job &job);

/// Sends one command about a task of the present attempt. Reserve, Start and Renew give the lease its length.
void sendCommand(Context &context, Job &job, int task, CommandKind kind);

}

#endif
