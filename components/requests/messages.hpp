#ifndef COMPONENTS_REQUESTS_MESSAGES_HPP
#define COMPONENTS_REQUESTS_MESSAGES_HPP

#include "components/fleet/identifiers.hpp"
#include "components/requests/answer.hpp"
#include "components/requests/request.hpp"

namespace requests
{

/// A request that the instance the caller reached sends to the instance that dispatches it.
struct ForwardedRequest
{
    Request m_request;
    /// How often the caller has sent the id, from 1.
    int m_sendCount = 2;

    bool operator==(const ForwardedRequest &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_request, m_sendCount);
    }
};

/// The answer to a ForwardedRequest; matched by the request id.
struct ForwardedAnswer
{
    fleet::RequestId m_request;
    Answer m_answer;

    bool operator==(const ForwardedAnswer &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_request, m_answer);
    }
};

/// Tells whether the successor accepted the handover.
struct HandoverAnswer
{
    bool m_accepted = false;

    bool operator==(const HandoverAnswer &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_accepted);
    }
};

}

#endif
