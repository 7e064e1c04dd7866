#ifndef COMPONENTS_FLEET_BOOT_TIME_HPP
#define COMPONENTS_FLEET_BOOT_TIME_HPP

#include "components/fleet/time.hpp"

namespace fleet
{

/// Time since the machine booted, including time in suspend. Used for leases, the authority of the holder and the age of a view:
/// a steady clock stops while the machine is suspended, so that they would appear younger than they are.
struct BootClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock>;
    // The name is prescribed by the standard Clock requirements.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using BootTime = BootClock::time_point;

}

#endif
