#include "components/allocations/allocation_counts.hpp"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::size_t> allocated = 0;
std::atomic<std::size_t> freed = 0;

}

namespace allocations
{

AllocationCounts allocationCounts()
{
    return {allocated, freed};
}

}

void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    allocated += ::malloc_usable_size(memory);
    return memory;
}

void operator delete(void *memory) noexcept
{
    freed += ::malloc_usable_size(memory);
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}
