#ifndef COMPONENTS_CATALOG_LIMITS_HPP
#define COMPONENTS_CATALOG_LIMITS_HPP

#include <cstddef>

namespace catalog
{

/// What callers may send.
struct Limits
{
    /// Bytes.
    std::size_t m_maxBodyBytes = std::size_t {256} * 1024;

    bool operator==(const Limits &) const = default;
};

}

#endif
