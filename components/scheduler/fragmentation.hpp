#ifndef COMPONENTS_SCHEDULER_FRAGMENTATION_HPP
#define COMPONENTS_SCHEDULER_FRAGMENTATION_HPP

#include <cstdint>

namespace scheduler
{

/// Fragmentation of the zone's free accelerators.
struct Fragmentation
{
    std::int64_t m_freeAccelerators = 0;
    /// Free accelerators that remain after placing as many of the waiting shapes as fit. 0 if none waits.
    std::int64_t m_strandedAccelerators = 0;
    /// Largest number of free accelerators on one worker, and in one rack.
    std::int64_t m_largestOnWorker = 0;
    std::int64_t m_largestInRack = 0;

    bool operator==(const Fragmentation &) const = default;
};

}

#endif
