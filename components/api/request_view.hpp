#ifndef COMPONENTS_API_REQUEST_VIEW_HPP
#define COMPONENTS_API_REQUEST_VIEW_HPP

#include "components/api/run_state.hpp"
#include "components/fleet/identifiers.hpp"

#include <string>

namespace api
{

/// State of a request at the instance that issued its id.
struct RequestView
{
    fleet::RequestId m_id;
    /// The attempt that the answer belongs to.
    int m_attempt = 0;
    /// NotApplicable while the request waits or runs.
    RunState m_runState = RunState::NotApplicable;
    /// The complete answer of the runner; set only if m_runState is Done.
    std::string m_body;

    bool operator==(const RequestView &) const = default;
};

}

#endif
