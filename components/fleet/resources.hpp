#ifndef COMPONENTS_FLEET_RESOURCES_HPP
#define COMPONENTS_FLEET_RESOURCES_HPP

#include <compare>
#include <cstdint>

namespace fleet
{

/// An amount of processor time, memory and accelerators.
struct Resources
{
    std::int64_t m_milliCores = 0;
    std::int64_t m_memoryMb = 0;
    std::int64_t m_accelerators = 0;

    bool operator==(const Resources &) const = default;

    /// True if no component of this amount exceeds the same component of `capacity`.
    bool fitsIn(const Resources &capacity) const
    {
        return m_milliCores <= capacity.m_milliCores && m_memoryMb <= capacity.m_memoryMb && m_accelerators <= capacity.m_accelerators;
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_milliCores, m_memoryMb, m_accelerators);
    }
};

inline Resources operator+(const Resources &a, const Resources &b)
{
    return {a.m_milliCores + b.m_milliCores, a.m_memoryMb + b.m_memoryMb, a.m_accelerators + b.m_accelerators};
}

inline Resources operator-(const Resources &a, const Resources &b)
{
    return {a.m_milliCores - b.m_milliCores, a.m_memoryMb - b.m_memoryMb, a.m_accelerators - b.m_accelerators};
}

inline Resources operator*(const Resources &a, std::int64_t count)
{
    return {a.m_milliCores * count, a.m_memoryMb * count, a.m_accelerators * count};
}

}

#endif
