#ifndef COMPONENTS_API_ERROR_KIND_HPP
#define COMPONENTS_API_ERROR_KIND_HPP

#include "components/api/run_state.hpp"

#include <cstdint>
#include <string_view>

namespace api
{

/// Every way in which a call under /v1 can be refused. docs/interface.md lists them.
enum class ErrorKind : std::uint8_t {
    /// The body is not JSON, a member is missing, unknown or of the wrong type.
    BadRequest,
    /// The operator token is missing or wrong.
    Unauthorized,
    NotFound,
    MethodNotAllowed,
    BodyTooLarge,
    /// The change was made from an older version of the configuration.
    StaleVersion,
    /// The id is in use for a different body, or the object exists already.
    Conflict,
    /// The value is well formed and not acceptable, for example an exception without a reason.
    Invalid,
    /// The job can never run as declared.
    CannotRun,
    /// The queue of the account is full, the deadline cannot be met, or the issuer of the id is gone at the first attempt.
    RequestRefused,
    /// The platform's log cannot be written.
    LogUnavailable,
    /// The instance is stopping.
    Draining,
    /// The request left for a runner, or may have, and its answer was not seen.
    OutcomeUnknown,
    Internal,
};

struct ErrorTraits
{
    /// Name of the kind in JSON.
    std::string_view m_name;
    int m_httpStatus = 500;
    /// What the kind says about the job or request of the call, if the call had one.
    RunState m_runState = RunState::NotApplicable;
};

const ErrorTraits &traitsOf(ErrorKind kind);

}

#endif
