#ifndef COMPONENTS_EXPERIMENT_RUN_OPTIONS_HPP
#define COMPONENTS_EXPERIMENT_RUN_OPTIONS_HPP

#include "components/experiment/site.hpp"
#include "components/scheduler/settings.hpp"

namespace experiment
{

/// What all seeds of one experiment share.
struct RunOptions
{
    Site m_site;
    scheduler::Settings m_scheduler;
    /// Jobs arrive for this long.
    fleet::Duration m_horizon = std::chrono::hours(24);
    /// How long after that the run goes on at most.
    fleet::Duration m_drain = std::chrono::hours(24);
    /// Multiplies the rate of every fault; 0 injects none.
    double m_faultScale = 1.0;
};

}

#endif
