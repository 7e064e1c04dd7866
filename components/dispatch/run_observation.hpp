#ifndef COMPONENTS_DISPATCH_RUN_OBSERVATION_HPP
#define COMPONENTS_DISPATCH_RUN_OBSERVATION_HPP

#include "components/fleet/boot_time.hpp"

#include <optional>

namespace dispatch
{

/// What the holder has observed itself of the run time of one run.
struct RunObservation
{
    /// Empty until the run was seen to start, or to have made progress if it was taken over or resumed from a checkpoint.
    std::optional<fleet::BootTime> m_since;
    /// Progress at m_since, in percent.
    int m_percentAtBegin = 0;
    /// The run was seen to start without a checkpoint, so that its whole run time is observed.
    bool m_isWhole = false;
    /// Progress since m_since at the latest sample, in percent.
    int m_sampledPercent = 0;
    /// Run time that was expected at the launch, on the worker of the run; 0 if there was no expectation.
    fleet::Duration m_expected {0};
    fleet::Duration m_expectedHigh {0};
};

}

#endif
