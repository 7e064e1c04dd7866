#ifndef COMPONENTS_PLATFORM_RUN_REQUEST_HPP
#define COMPONENTS_PLATFORM_RUN_REQUEST_HPP

#include "components/fleet/identifiers.hpp"

#include <string>

namespace platform
{

/// A request as it is sent to a runner.
struct RunRequest
{
    fleet::RequestId m_request;
    /// Counts the dispatches of the request from 1.
    int m_attempt = 1;
    fleet::AccountId m_account;
    std::string m_kind;
    /// UTF-8.
    std::string m_body;

    bool operator==(const RunRequest &) const = default;
};

}

#endif
