#ifndef COMPONENTS_API_REQUEST_SUBMISSION_HPP
#define COMPONENTS_API_REQUEST_SUBMISSION_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/fleet/urgency.hpp"

#include <string>

namespace api
{

/// One submission of a request by its caller.
struct RequestSubmission
{
    fleet::RequestId m_id;
    /// How often the caller has sent this request id, from 1.
    int m_attempt = 1;
    fleet::AccountId m_account;
    std::string m_kind;
    /// True if it is safe to run the request twice. Other requests are dispatched at most once.
    bool m_idempotent = false;
    fleet::Urgency m_urgency = fleet::Urgency::Normal;
    /// How long the caller waits for the answer, from the receipt of this attempt.
    fleet::Duration m_timeout {0};
    std::string m_body;

    bool operator==(const RequestSubmission &) const = default;
};

}

#endif
