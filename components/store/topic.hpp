#ifndef COMPONENTS_STORE_TOPIC_HPP
#define COMPONENTS_STORE_TOPIC_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace store
{

/// One partition of one topic of the platform's store.
struct Topic
{
    std::string m_name;
    std::uint32_t m_partition = 0;
    /// Keeps the newest record of each key forever.
    bool m_isKeyed = false;

    auto operator<=>(const Topic &) const = default;
};

}

#endif
