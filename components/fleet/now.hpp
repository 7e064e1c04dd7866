#ifndef COMPONENTS_FLEET_NOW_HPP
#define COMPONENTS_FLEET_NOW_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/time.hpp"

namespace fleet
{

/// The current time, passed to every function that makes decisions.
struct Now
{
    BootTime m_boot;
    /// Only for times with a meaning outside of this machine, such as the due time of an occurrence of a job.
    TimePoint m_wall;

    bool operator==(const Now &) const = default;
};

}

#endif
