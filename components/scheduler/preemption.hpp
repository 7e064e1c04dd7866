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

/// Where a shape can run once the victims have made room.
struct PreemptionPlan
{
    placement::Assignment m_workers;
    std::vector<fleet::JobId> m_victims;
    /// Work lost, in accelerator seconds weighted by urgency.
    double m_cost = 0;
};

/// Says whether a gang that no guarantee covers may be stopped for the purpose at hand.
using VictimFilter = std::function<bool(const Job &)>;

/// Finds the cheapest victims among the gangs that no guarantee covers. Nothing is used beyond what `ceiling` has free.
std::optional<PreemptionPlan> planPreemption(const Context &context, const fleet::Shape &shape, const placement::Pool &ceiling, const VictimFilter &mayPreempt);

/// A ceiling that leaves every worker's whole capacity open.
placement::Pool wholeCapacity(const State &state);

/// Stops the victims and makes an attempt at the job that starts when they are gone.
void startAfterPreempting(Context &context, Job &job, const PlacementDecision &decision, const std::vector<fleet::JobId> &victims);

/// Displaces lesser work for an urgent job.
bool startUrgentByPreempting(Context &context, Job &job);

}

#endif
