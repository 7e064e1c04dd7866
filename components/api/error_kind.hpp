#ifndef COMPONENTS_API_ERROR_KIND_HPP
#define COMPONENTS_API_ERROR_KIND_HPP

#include "components/api/run_state.hpp"

#include <cstdint>
#include <string_view>

namespace api
{

/// Reason for which a call under /v1 is refused, as listed in docs/interface.md.
enum class ErrorKind : std::uint8_t {
    /// The body is not JSON, or a member is missing, unknown or of the wrong type.
    BadRequest,
    /// The operator token is missing or wrong.
    Unauthorized,
    NotFound,
    MethodNotAllowed,
    BodyTooLarge,
    /// The change is based on an older version of the configuration.
    StaleVersion,
    /// The id is in use for a different body, or the object exists already.
    Conflict,
    /// The value is well-formed but not acceptable, for example an exception without a reason.
    Invalid,
    /// The job can never run as declared.
    CannotRun,
    /// The queue of the account is full, the deadline cannot be met, or the instance that issued the id is gone at the
    /// first attempt.
    RequestRefused,
    /// The platform's log cannot be written.
    LogUnavailable,
    /// The instance is stopping.
    Draining,
    /// The request was sent to a runner, or may have been, and no answer was received.
    OutcomeUnknown,
    Internal,
};

struct ErrorTraits
{
    /// Name of the kind in JSON.
    std::string_view m_name;
    int m_httpStatus = 500;
    /// Whether the job or request of the call ran, if the call had one.
    RunState m_runState = RunState::NotApplicable;
};

const ErrorTraits &traitsOf(ErrorKind kind);

}

#endif
