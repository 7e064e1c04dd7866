#ifndef COMPONENTS_WORKERS_LOOK_OUTCOME_HPP
#define COMPONENTS_WORKERS_LOOK_OUTCOME_HPP

#include <cstdint>

namespace workers
{

enum class LookOutcome : std::uint8_t {
    Answered,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another life answered at the address.
    OtherLife,
    /// The worker answered with something else.
    Unhealthy,
    NoAnswer,
};

}

#endif
