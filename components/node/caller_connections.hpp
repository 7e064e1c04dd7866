#ifndef COMPONENTS_NODE_CALLER_CONNECTIONS_HPP
#define COMPONENTS_NODE_CALLER_CONNECTIONS_HPP

#include <cstddef>

namespace node
{

/// Connections of callers to one instance.
struct CallerConnections
{
    std::size_t m_open = 0;
    /// Requests on them that were passed to the instance and whose answers have not been written yet. Requests that wait behind
    /// another one on the same connection are not counted.
    std::size_t m_unanswered = 0;

    bool operator==(const CallerConnections &) const = default;
};

}

#endif
