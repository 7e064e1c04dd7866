#ifndef COMPONENTS_PLATFORM_RUN_OUTCOME_HPP
#define COMPONENTS_PLATFORM_RUN_OUTCOME_HPP

#include <cstdint>

namespace platform
{

/// What the sender can conclude about a request to a runner.
enum class RunOutcome : std::uint8_t {
    /// The request ran and its complete response was received.
    Done,
    /// The request certainly did not run: it was never sent, or the runner rejected it.
    DidNotRun,
    /// The request may have run.
    Unknown,
};

}

#endif
