#ifndef COMPONENTS_STANDIN_RECEIVED_REQUEST_HPP
#define COMPONENTS_STANDIN_RECEIVED_REQUEST_HPP

#include "components/fleet/time.hpp"
#include "components/platform/run_request.hpp"

namespace standin
{

/// A request as it reached a runner. History checks are made from these.
struct ReceivedRequest
{
    fleet::TimePoint m_at;
    platform::RunRequest m_request;
    /// False where no slot was free.
    bool m_accepted = false;

    bool operator==(const ReceivedRequest &) const = default;
};

}

#endif
