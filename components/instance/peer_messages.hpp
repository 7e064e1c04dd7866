#ifndef COMPONENTS_INSTANCE_PEER_MESSAGES_HPP
#define COMPONENTS_INSTANCE_PEER_MESSAGES_HPP

#include "components/requests/handover.hpp"
#include "components/requests/messages.hpp"

#include <variant>

namespace instance
{

/// Asks for the state of a request without sending it.
struct RequestQuery
{
    fleet::RequestId m_request;

    bool operator==(const RequestQuery &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_request);
    }
};

/// The request is under way at its dispatcher.
struct StillUnderWay
{
    bool operator==(const StillUnderWay &) const = default;

    template<class Archive>
    void serialize(Archive &)
    {
    }
};

/// The instance asked knows nothing of the request.
struct UnknownRequest
{
    bool operator==(const UnknownRequest &) const = default;

    template<class Archive>
    void serialize(Archive &)
    {
    }
};

/// What one instance asks of another over TCP.
using PeerCall = std::variant<requests::ForwardedRequest, RequestQuery, requests::Handover>;

/// What it answers.
using PeerReply = std::variant<requests::ForwardedAnswer, StillUnderWay, UnknownRequest, requests::HandoverAnswer>;

}

#endif
