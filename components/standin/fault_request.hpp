#ifndef COMPONENTS_STANDIN_FAULT_REQUEST_HPP
#define COMPONENTS_STANDIN_FAULT_REQUEST_HPP

#include "components/standin/faults.hpp"

#include <string>
#include <string_view>

namespace standin
{

/// Request on the control port that replaces all faults of one service.
struct FaultRequest
{
    /// "log", "list", or the id of a worker or runner.
    std::string m_target;
    Faults m_faults;

    bool operator==(const FaultRequest &) const = default;
};

/// Decodes `{"target": "worker-1", "down": true, "slowMs": 100, "loseEvery": 3, ...}`. Omitted faults are off.
/// @throws platform::DecodeError
FaultRequest decodeFaultRequest(std::string_view text);

}

#endif
