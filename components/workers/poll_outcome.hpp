#ifndef COMPONENTS_WORKERS_POLL_OUTCOME_HPP
#define COMPONENTS_WORKERS_POLL_OUTCOME_HPP

#include <cstdint>

namespace workers
{

enum class PollOutcome : std::uint8_t {
    Answered,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another life answered at the address.
    OtherIncarnation,
    /// The worker answered with something else.
    Unhealthy,
    NoAnswer,
};

}

#endif
