#ifndef COMPONENTS_API_RUN_STATE_HPP
#define COMPONENTS_API_RUN_STATE_HPP

#include <cstdint>
#include <string_view>

namespace api
{

/// Whether the work that an answer speaks of ran.
enum class RunState : std::uint8_t {
    /// The answer does not speak of work, or the work is still under way.
    NotApplicable,
    /// Nothing ran and nothing will run for this call.
    DidNotRun,
    Done,
    /// It may have run. Ask again with the same id; sending it under a new id may run it twice.
    OutcomeUnknown,
};

/// Name used in JSON: "did-not-run", "done" or "outcome-unknown"; empty for NotApplicable.
std::string_view runStateName(RunState state);

}

#endif
