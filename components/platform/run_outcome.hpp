#ifndef COMPONENTS_PLATFORM_RUN_OUTCOME_HPP
#define COMPONENTS_PLATFORM_RUN_OUTCOME_HPP

#include <cstdint>

namespace platform
{

/// What is known about a request that was sent to a runner.
enum class RunOutcome : std::uint8_t {
    /// It ran and the whole answer is here.
    Done,
    /// Certain not to have run: it was never sent, or the runner refused it.
    DidNotRun,
    /// It may have run.
    Unknown,
};

}

#endif
