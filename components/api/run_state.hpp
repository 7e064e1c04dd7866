#ifndef COMPONENTS_API_RUN_STATE_HPP
#define COMPONENTS_API_RUN_STATE_HPP

#include <cstdint>
#include <string_view>

namespace api
{

/// Whether the job or request that a response refers to ran.
enum class RunState : std::uint8_t {
    /// The response refers to no job or request, or it has not ended yet.
    NotApplicable,
    /// Nothing ran and nothing will run for this call.
    DidNotRun,
    Done,
    /// It may have run. The caller should repeat the call with the same id; a new id may run it twice.
    OutcomeUnknown,
};

/// Name used in JSON: "did-not-run", "done" or "outcome-unknown"; empty for NotApplicable.
std::string_view runStateName(RunState state);

}

#endif
