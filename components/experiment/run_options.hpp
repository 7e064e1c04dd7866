#ifndef COMPONENTS_EXPERIMENT_RUN_OPTIONS_HPP
#define COMPONENTS_EXPERIMENT_RUN_OPTIONS_HPP

#include "components/experiment/site.hpp"
#include "components/scheduler/settings.hpp"

namespace experiment
{

/// Options common to all seeds of one experiment.
struct RunOptions
{
    Site m_site;
    scheduler::Settings m_scheduler;
    /// Length of the period in which jobs arrive.
    fleet::Duration m_horizon = std::chrono::hours(24);
    /// Maximum time for which the run continues after that period.
    fleet::Duration m_drain = std::chrono::hours(24);
    /// Multiplies the rate of every fault; 0 injects none.
    double m_faultScale = 1.0;
};

}

#endif
