#ifndef COMPONENTS_STORE_READ_CALL_HPP
#define COMPONENTS_STORE_READ_CALL_HPP

#include "components/fleet/time.hpp"
#include "components/store/topic.hpp"

#include <cstdint>

namespace store
{

/// Reads records of a topic, starting at an offset.
struct ReadCall
{
    Topic m_topic;
    std::uint64_t m_from = 0;
    /// How long the store may wait for new records if there are none.
    fleet::Duration m_wait {0};
    /// Most kilobytes of records that the answer may hold; 0 leaves it to the store.
    std::uint32_t m_maxKilobytes = 0;

    bool operator==(const ReadCall &) const = default;
};

}

#endif
