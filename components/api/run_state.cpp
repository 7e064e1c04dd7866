#include "components/api/run_state.hpp"

namespace api
{

std::string_view runStateName(RunState state)
{
    switch (state) {
    case RunState::NotApplicable:
        return "";
    case RunState::DidNotRun:
        return "did-not-run";
    case RunState::Done:
        return "done";
    case RunState::OutcomeUnknown:
        return "outcome-unknown";
    }
    return "";
}

}
