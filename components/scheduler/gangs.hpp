#ifndef COMPONENTS_SCHEDULER_GANGS_HPP
#define COMPONENTS_SCHEDULER_GANGS_HPP

#include "components/placement/place.hpp"
#include "components/scheduler/context.hpp"

#include <string>

namespace scheduler
{

/// Sends Reserve for every task of a new attempt at the job, on the workers assigned.
void beginAttempt(Context &context, Job &job, const placement::Assignment &workers);

/// Stops every task of the attempt that is not over. The first reason stays, but for a cancellation.
void endAttempt(Context &context, Job &job, AttemptEnd end, const std::string &reason);

/// Notes that the lease of one task is certainly over, and frees what it had booked.
void endTask(Context &context, Job &job, int task);

/// Makes the transitions that are due for the jobs touched: start behind the barrier, adoption, the end of an attempt.
void settleGangs(Context &context);

/// Renews leases, all of a gang or none, and deals with answers that did not come in time.
void tickGangs(Context &context);

/// Sends Forget for the final statuses of the attempt, once the job's own end or the attempt's was emitted.
void forgetRetained(Context &context, Job &job);

/// Sends one command about a task of the present attempt. Reserve, Start and Renew give the lease its length.
void sendCommand(Context &context, Job &job, int task, CommandKind kind);

}

#endif
