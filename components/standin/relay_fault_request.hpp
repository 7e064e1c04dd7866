#ifndef COMPONENTS_STANDIN_RELAY_FAULT_REQUEST_HPP
#define COMPONENTS_STANDIN_RELAY_FAULT_REQUEST_HPP

#include "components/standin/relay_faults.hpp"

#include <string>
#include <string_view>

namespace standin
{

/// An order over the control port: the faults in force on a relay's route from now on, all others ended.
struct RelayFaultRequest
{
    std::string m_route;
    RelayFaults m_faults;

    bool operator==(const RelayFaultRequest &) const = default;
};

/// Reads `{"name": "kochi-1", "cutForward": true, "delayMs": 50, "dropPercent": 10, ...}`; what is absent is off.
/// @throws platform::DecodeError
RelayFaultRequest decodeRelayFaultRequest(std::string_view text);

}

#endif
