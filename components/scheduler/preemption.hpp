#ifndef COMPONENTS_SCHEDULER_PREEMPTION_HPP
#define COMPONENTS_SCHEDULER_PREEMPTION_HPP

#include "components/placement/place.hpp"
#include "components/scheduler/context.hpp"
#include "components/scheduler/placement_decision.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace scheduler
{

/// Workers on which a shape can run after the victims were stopped.
struct PreemptionPlan
{
    placement::Assignment m_workers;
    std::vector<fleet::JobId> m_victims;
    /// Work lost, in accelerator seconds weighted by urgency.
    double m_cost = 0;
};

/// Returns true if the gang, which no guarantee covers, may be preempted in this case.
using VictimFilter = std::function<bool(const Job &)>;

/// Finds the cheapest victims among the gangs that no guarantee covers. Uses no more of each worker than `ceiling` has free.
/// Returns nothing where stopping all victims that `mayPreempt` allows does not free enough capacity.
std::optional<PreemptionPlan> planPreemption(const Context &context, const fleet::Shape &shape, const placement::Pool &ceiling, const VictimFilter &mayPreempt);

/// Returns the pool with the whole capacity of every worker free, for use as a ceiling without limits.
placement::Pool wholeCapacity(const State &state);

/// Preempts the victims and begins an attempt at the job, which starts once their capacity is free.
void startAfterPreempting(Context &context, Job &job, const PlacementDecision &decision, const std::vector<fleet::JobId> &victims);

/// Preempts gangs of lower urgency for an urgent job. Returns false if no such plan exists.
bool startUrgentByPreempting(Context &context, Job &job);

}

#endif
