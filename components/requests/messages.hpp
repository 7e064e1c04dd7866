#ifndef COMPONENTS_REQUESTS_MESSAGES_HPP
#define COMPONENTS_REQUESTS_MESSAGES_HPP

#include "components/fleet/identifiers.hpp"
#include "components/requests/answer.hpp"
#include "components/requests/request.hpp"

namespace requests
{

/// A request on its way from the instance that the caller reached to the one that dispatches it.
struct ForwardedRequest
{
    Request m_request;
    /// Counts the caller's sendings of the id from 1.
    int m_sendCount = 2;

    bool operator==(const ForwardedRequest &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_request, m_sendCount);
    }
};

/// The answer on its way back; matched by the request id.
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

/// Whether the heir took over the ids.
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
