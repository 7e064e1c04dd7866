#ifndef COMPONENTS_FLEET_NOW_HPP
#define COMPONENTS_FLEET_NOW_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/time.hpp"

namespace fleet
{

/// The present time as every deciding function receives it.
struct Now
{
    BootTime m_boot;
    /// Only for times that mean something outside of this machine, such as when an occurrence of a job is due.
    TimePoint m_wall;

    bool operator==(const Now &) const = default;
};

}

#endif
