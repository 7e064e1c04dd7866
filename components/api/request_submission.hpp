#ifndef COMPONENTS_API_REQUEST_SUBMISSION_HPP
#define COMPONENTS_API_REQUEST_SUBMISSION_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/fleet/urgency.hpp"

#include <string>

namespace api
{

/// One attempt of a caller at one request.
struct RequestSubmission
{
    fleet::RequestId m_id;
    /// Counts the caller's sendings of this id from 1.
    int m_attempt = 1;
    fleet::AccountId m_account;
    std::string m_kind;
    /// True where running it twice does no harm. Everything else is dispatched at most once.
    bool m_idempotent = false;
    fleet::Urgency m_urgency = fleet::Urgency::Normal;
    /// Time that the caller will wait from the receipt of this attempt.
    fleet::Duration m_timeout {0};
    std::string m_body;

    bool operator==(const RequestSubmission &) const = default;
};

}

#endif
