#ifndef COMPONENTS_SCHEDULER_FRAGMENTATION_HPP
#define COMPONENTS_SCHEDULER_FRAGMENTATION_HPP

#include <cstdint>

namespace scheduler
{

/// How scattered the free accelerators of the zone are.
struct Fragmentation
{
    std::int64_t m_freeAccelerators = 0;
    /// Free accelerators that are left when the waiting shapes have been placed as well as they fit. 0 where none waits.
    std::int64_t m_strandedAccelerators = 0;
    /// The most free accelerators on one worker, and in one rack.
    std::int64_t m_largestOnWorker = 0;
    std::int64_t m_largestInRack = 0;

    bool operator==(const Fragmentation &) const = default;
};

}

#endif
