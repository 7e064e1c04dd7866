#ifndef COMPONENTS_PLATFORM_RUN_RESULT_HPP
#define COMPONENTS_PLATFORM_RUN_RESULT_HPP

#include "components/platform/run_outcome.hpp"

#include <string>

namespace platform
{

struct RunResult
{
    RunOutcome m_outcome = RunOutcome::Unknown;
    /// Done: the runner's response.
    std::string m_body;
    /// DidNotRun and Unknown: the reason.
    std::string m_reason;

    bool operator==(const RunResult &) const = default;
};

}

#endif
