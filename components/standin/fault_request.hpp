#ifndef COMPONENTS_STANDIN_FAULT_REQUEST_HPP
#define COMPONENTS_STANDIN_FAULT_REQUEST_HPP

#include "components/standin/faults.hpp"

#include <string>
#include <string_view>

namespace standin
{

/// An order over the control port: the faults in force at a target from now on, all others ended.
struct FaultRequest
{
    /// "log", "list", or the id of a worker or runner.
    std::string m_target;
    Faults m_faults;

    bool operator==(const FaultRequest &) const = default;
};

/// Reads `{"target": "worker-1", "down": true, "slowMs": 100, "loseEvery": 3, ...}`; what is absent is off.
/// @throws platform::DecodeError
FaultRequest decodeFaultRequest(std::string_view text);

}

#endif
