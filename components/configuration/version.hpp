#ifndef COMPONENTS_CONFIGURATION_VERSION_HPP
#define COMPONENTS_CONFIGURATION_VERSION_HPP

#include <compare>
#include <cstdint>

namespace configuration
{

/// Number of changes accepted so far. Readers with the same version have the same configuration.
struct Version
{
    std::uint64_t m_value = 0;

    auto operator<=>(const Version &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_value);
    }
};

}

#endif
