#include "components/api/error_kind.hpp"

#include <array>

namespace api
{

namespace
{

constexpr std::array errorTraits = {
    ErrorTraits {"bad-request", 400, RunState::DidNotRun},
    ErrorTraits {"unauthorized", 401, RunState::DidNotRun},
    ErrorTraits {"not-found", 404, RunState::NotApplicable},
    ErrorTraits {"method-not-allowed", 405, RunState::DidNotRun},
    ErrorTraits {"body-too-large", 413, RunState::DidNotRun},
    ErrorTraits {"stale-version", 409, RunState::NotApplicable},
    ErrorTraits {"conflict", 409, RunState::NotApplicable},
    ErrorTraits {"invalid", 422, RunState::DidNotRun},
    ErrorTraits {"cannot-run", 422, RunState::DidNotRun},
    ErrorTraits {"request-refused", 503, RunState::DidNotRun},
    ErrorTraits {"log-unavailable", 503, RunState::DidNotRun},
    ErrorTraits {"draining", 503, RunState::DidNotRun},
    ErrorTraits {"outcome-unknown", 504, RunState::OutcomeUnknown},
    ErrorTraits {"internal", 500, RunState::OutcomeUnknown},
};

static_assert(errorTraits.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1);

}

const ErrorTraits &traitsOf(ErrorKind kind)
{
    return errorTraits[static_cast<std::size_t>(kind)];
}

}
