#ifndef COMPONENTS_EXPERIMENT_FAULT_PLAN_HPP
#define COMPONENTS_EXPERIMENT_FAULT_PLAN_HPP

#include "components/experiment/fault.hpp"
#include "components/experiment/site.hpp"

#include <cstdint>
#include <vector>

namespace experiment
{

/// Message faults between a scheduler and its workers, as probabilities for each message.
struct MessageFaults
{
    double m_lost = 0.0;
    double m_late = 0.0;
    double m_duplicated = 0.0;
};

struct FaultPlan
{
    /// By time of their beginning.
    std::vector<Fault> m_faults;
    MessageFaults m_messages;
};

/// Faults over `horizon` from the start of the run. `scale` multiplies every rate; 0 gives none.
FaultPlan generateFaults(const Site &site, std::uint64_t seed, fleet::Duration horizon, double scale);

}

#endif
