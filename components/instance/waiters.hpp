#ifndef COMPONENTS_INSTANCE_WAITERS_HPP
#define COMPONENTS_INSTANCE_WAITERS_HPP

#include "components/http/responder.hpp"
#include "components/http/response.hpp"
#include "components/requests/waiter.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>

namespace instance
{

/// Connections that wait for a reply of the control thread. Thread-safe.
class Waiters
{
public:
    requests::WaiterId add(const http::Responder &responder);

    /// Removes and returns the connection; absent if it was already removed.
    std::optional<http::Responder> take(requests::WaiterId waiter);

    /// Number of connections that still wait.
    std::size_t count() const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_last = 0;
    std::map<requests::WaiterId, http::Responder> m_waiting;
};

}

#endif
