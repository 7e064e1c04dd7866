#ifndef COMPONENTS_INSTANCE_APPEND_TICKET_HPP
#define COMPONENTS_INSTANCE_APPEND_TICKET_HPP

#include <compare>
#include <cstdint>

namespace instance
{

/// Identifies one record that this instance appends to the log. Tickets increase in the order of the appends to one stream.
struct AppendTicket
{
    std::uint64_t m_value = 0;

    auto operator<=>(const AppendTicket &) const = default;
};

}

#endif
