#include "components/allocations/allocation_counts.hpp"

#include <atomic>
#include <cstddef>
#include <cstdlib>
#include <cstring>
#include <new>

namespace
{

constexpr std::size_t headerBytes = alignof(std::max_align_t);

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

void *operator new(std::size_t size, const std::nothrow_t &) noexcept
{
    // The size is stored before the memory: what the C library gives beyond it differs from call to call.
    void *memory = std::malloc(headerBytes + size);
    if (memory == nullptr) {
        return nullptr;
    }
    std::memcpy(memory, &size, sizeof(size));
    allocated += size;
    return static_cast<char *>(memory) + headerBytes;
}

void *operator new(std::size_t size)
{
    void *memory = operator new(size, std::nothrow);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    if (memory == nullptr) {
        return;
    }
    void *begin = static_cast<char *>(memory) - headerBytes;
    std::size_t size = 0;
    std::memcpy(&size, begin, sizeof(size));
    freed += size;
    std::free(begin);
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}
