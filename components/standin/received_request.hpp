#ifndef COMPONENTS_STANDIN_RECEIVED_REQUEST_HPP
#define COMPONENTS_STANDIN_RECEIVED_REQUEST_HPP

#include "components/fleet/time.hpp"
#include "components/platform/run_request.hpp"

namespace standin
{

/// A request that a runner received. Tests check the history of requests against these.
struct ReceivedRequest
{
    fleet::TimePoint m_at;
    platform::RunRequest m_request;
    /// False if the request was refused because no slot was free.
    bool m_accepted = false;

    bool operator==(const ReceivedRequest &) const = default;
};

}

#endif
