#ifndef COMPONENTS_HTTP_CLIENT_BUDGET_SETTINGS_HPP
#define COMPONENTS_HTTP_CLIENT_BUDGET_SETTINGS_HPP

#include "components/http/client_kind.hpp"

#include <array>
#include <cstddef>

namespace http
{

/// The part of a budget that clients of one kind may use.
struct ClientShare
{
    /// Bytes that connections may hold in buffers, unfinished requests and unwritten responses.
    std::size_t m_bytes = 0;
    std::size_t m_connections = 0;
};

/// Budget of one process, divided among the kinds of clients, so that callers leave a reserve for readiness and metrics.
struct ClientBudgetSettings
{
    /// Indexed by ClientKind.
    std::array<ClientShare, clientKinds> m_shares {};
};

}

#endif
