#ifndef COMPONENTS_STORE_PARTIAL_READ_HPP
#define COMPONENTS_STORE_PARTIAL_READ_HPP

#include "components/fleet/boot_time.hpp"

#include <cstdint>

namespace store
{

/// A read whose answer named an end of the topic beyond the records that had been read by then.
struct PartialRead
{
    fleet::BootTime m_sentAt;
    std::uint64_t m_end = 0;

    bool operator==(const PartialRead &) const = default;
};

}

#endif
