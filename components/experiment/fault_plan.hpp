#ifndef COMPONENTS_EXPERIMENT_FAULT_PLAN_HPP
#define COMPONENTS_EXPERIMENT_FAULT_PLAN_HPP

#include "components/experiment/fault.hpp"
#include "components/experiment/site.hpp"

#include <cstdint>
#include <vector>

namespace experiment
{

/// Probabilities, per message, of faults between a scheduler and its workers.
struct MessageFaults
{
    double m_lost = 0.0;
    double m_late = 0.0;
    double m_duplicated = 0.0;
};

/// All faults of one run.
struct FaultPlan
{
    /// Sorted by start time.
    std::vector<Fault> m_faults;
    MessageFaults m_messages;
};

/// Generates the faults of the first `horizon` of the run. `scale` multiplies every rate; 0 generates none.
FaultPlan generateFaults(const Site &site, std::uint64_t seed, fleet::Duration horizon, double scale);

}

#endif
