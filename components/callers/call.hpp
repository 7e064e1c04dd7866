#ifndef COMPONENTS_CALLERS_CALL_HPP
#define COMPONENTS_CALLERS_CALL_HPP

#include "components/callers/call_kind.hpp"
#include "components/callers/submission.hpp"
#include "components/fleet/time.hpp"

#include <optional>
#include <string>

namespace callers
{

/// One call of a caller, as it came in.
struct Call
{
    CallKind m_kind = CallKind::Show;
    std::string m_host;
    /// Path without the query.
    std::string m_path;
    /// The caller's key; empty where it sent none.
    std::string m_key;
    /// Names the call in the logs of both sides; empty where the caller gave none.
    std::string m_requestId;
    /// How long the caller waits for an answer.
    std::optional<fleet::Duration> m_timeout;
    /// Submit: nothing where the body could not be read.
    std::optional<Submission> m_submission;
    /// Submit: what is wrong with the body; empty where it was read.
    std::string m_bodyError;

    bool operator==(const Call &) const = default;
};

}

#endif
