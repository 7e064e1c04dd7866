#ifndef COMPONENTS_STANDIN_RELAY_FAULT_REQUEST_HPP
#define COMPONENTS_STANDIN_RELAY_FAULT_REQUEST_HPP

#include "components/standin/relay_faults.hpp"

#include <string>
#include <string_view>

namespace standin
{

/// Request on the control port that replaces all faults of one relay route.
struct RelayFaultRequest
{
    std::string m_route;
    RelayFaults m_faults;

    bool operator==(const RelayFaultRequest &) const = default;
};

/// Decodes `{"name": "kochi-1", "cutForward": true, "delayMs": 50, "dropPercent": 10, ...}`. Omitted faults are off.
/// @throws platform::DecodeError
RelayFaultRequest decodeRelayFaultRequest(std::string_view text);

}

#endif
