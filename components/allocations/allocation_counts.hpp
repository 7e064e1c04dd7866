#ifndef COMPONENTS_ALLOCATIONS_ALLOCATION_COUNTS_HPP
#define COMPONENTS_ALLOCATIONS_ALLOCATION_COUNTS_HPP

#include <cstddef>

namespace allocations
{

/// Memory that the program has allocated and freed with `new` since its start, in bytes. Programs that call allocationCounts() count with
/// replaced allocation functions; this is for tests and benchmarks only.
struct AllocationCounts
{
    std::size_t m_allocated = 0;
    std::size_t m_freed = 0;

    std::size_t kept() const
    {
        return m_allocated - m_freed;
    }

    bool operator==(const AllocationCounts &) const = default;
};

AllocationCounts allocationCounts();

}

#endif
