#ifndef COMPONENTS_WORKERS_POLL_OUTCOME_HPP
#define COMPONENTS_WORKERS_POLL_OUTCOME_HPP

#include <cstdint>

namespace workers
{

enum class PollOutcome : std::uint8_t {
    Answered,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another incarnation or another worker answered at the address.
    OtherIncarnation,
    /// The worker gave any other answer.
    Unhealthy,
    NoAnswer,
};

}

#endif
