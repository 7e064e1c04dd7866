#ifndef COMPONENTS_REQUESTS_WAITER_HPP
#define COMPONENTS_REQUESTS_WAITER_HPP

#include "components/fleet/time.hpp"

#include <compare>
#include <cstdint>

namespace requests
{

/// Identifies a connection that waits for an answer: that of a caller, or of another instance that forwarded a request.
struct WaiterId
{
    std::uint64_t m_value = 0;

    auto operator<=>(const WaiterId &) const = default;
};

struct Waiter
{
    WaiterId m_id;
    fleet::TimePoint m_deadline;

    bool operator==(const Waiter &) const = default;
};

}

#endif
