#ifndef COMPONENTS_REQUESTS_ACCOUNT_QUEUE_HPP
#define COMPONENTS_REQUESTS_ACCOUNT_QUEUE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <deque>

namespace requests
{

/// Requests of one account that wait for a runner, and the account's budgets.
struct AccountQueue
{
    fleet::AccountId m_account;
    double m_weight = 1.0;
    double m_urgentPerHour = 0.0;
    double m_urgentTokens = 0.0;
    fleet::TimePoint m_tokensAt;
    double m_retryTokens = 0.0;
    /// Dispatches so far divided by the weight; the account with the lowest value is served next.
    double m_virtualTime = 0.0;
    std::deque<fleet::RequestId> m_urgent;
    std::deque<fleet::RequestId> m_normal;

    bool operator==(const AccountQueue &) const = default;

    std::size_t size() const
    {
        return m_urgent.size() + m_normal.size();
    }
};

}

#endif
