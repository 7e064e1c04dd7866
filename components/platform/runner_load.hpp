#ifndef COMPONENTS_PLATFORM_RUNNER_LOAD_HPP
#define COMPONENTS_PLATFORM_RUNNER_LOAD_HPP

#include "components/fleet/time.hpp"

namespace platform
{

/// Load of a runner at `m_asOf`; it may be out of date.
struct RunnerLoad
{
    fleet::TimePoint m_asOf;
    int m_slotsUsed = 0;
    int m_connectionsUsed = 0;

    bool operator==(const RunnerLoad &) const = default;
};

}

#endif
