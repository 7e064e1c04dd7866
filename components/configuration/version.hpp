#ifndef COMPONENTS_CONFIGURATION_VERSION_HPP
#define COMPONENTS_CONFIGURATION_VERSION_HPP

#include <compare>
#include <cstdint>

namespace configuration
{

/// Number of changes accepted so far. The same version means the same configuration at every reader.
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
