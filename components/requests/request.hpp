#ifndef COMPONENTS_REQUESTS_REQUEST_HPP
#define COMPONENTS_REQUESTS_REQUEST_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/fleet/urgency.hpp"

#include <string>

namespace requests
{

/// A request as its caller sent it.
struct Request
{
    fleet::RequestId m_id;
    fleet::AccountId m_account;
    std::string m_kind;
    /// False if running the request twice does harm, as with a slot match or a stitch plan.
    bool m_idempotent = false;
    fleet::Urgency m_urgency = fleet::Urgency::Normal;
    /// The caller does not wait for an answer after this time.
    fleet::TimePoint m_deadline;
    std::string m_body;

    bool operator==(const Request &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_account, m_kind, m_idempotent, m_urgency);
        fleet::serializeTime(archive, m_deadline);
        archive(m_body);
    }
};

}

#endif
