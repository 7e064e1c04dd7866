#ifndef COMPONENTS_FLEET_BOOT_TIME_HPP
#define COMPONENTS_FLEET_BOOT_TIME_HPP

#include "components/fleet/time.hpp"

namespace fleet
{

/// Time since the machine started, the time that it was suspended included. Leases, authority and the age of a view are
/// measured on it: a steady clock stands still while the machine is suspended and would make them look younger.
struct BootClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock>;
    // Named by the requirements of a clock.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using BootTime = BootClock::time_point;

}

#endif
