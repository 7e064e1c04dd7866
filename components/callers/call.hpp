#ifndef COMPONENTS_CALLERS_CALL_HPP
#define COMPONENTS_CALLERS_CALL_HPP

#include "components/callers/call_kind.hpp"
#include "components/callers/submission.hpp"
#include "components/fleet/time.hpp"

#include <optional>
#include <string>

namespace callers
{

/// One call of a caller as received.
struct Call
{
    CallKind m_kind = CallKind::Show;
    std::string m_host;
    /// Path without the query.
    std::string m_path;
    /// The caller's key; empty if it sent none.
    std::string m_key;
    /// Identifies the call in the logs of both sides; empty if the caller sent none.
    std::string m_requestId;
    /// How long the caller waits for an answer.
    std::optional<fleet::Duration> m_timeout;
    /// Submit: nothing if the body could not be parsed.
    std::optional<Submission> m_submission;
    /// Submit: description of the error in the body; empty if it was parsed.
    std::string m_bodyError;

    bool operator==(const Call &) const = default;
};

}

#endif
