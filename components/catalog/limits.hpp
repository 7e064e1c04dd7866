#ifndef COMPONENTS_CATALOG_LIMITS_HPP
#define COMPONENTS_CATALOG_LIMITS_HPP

#include <cstddef>

namespace catalog
{

/// Limits for requests of callers.
struct Limits
{
    /// Maximum size of a request body.
    std::size_t m_maxBodyBytes = std::size_t {256} * 1024;

    bool operator==(const Limits &) const = default;
};

}

#endif
