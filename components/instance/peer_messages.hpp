#ifndef COMPONENTS_INSTANCE_PEER_MESSAGES_HPP
#define COMPONENTS_INSTANCE_PEER_MESSAGES_HPP

#include "components/configuration/record.hpp"
#include "components/records/stream_fold.hpp"
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
struct RequestInProgress
{
    bool operator==(const RequestInProgress &) const = default;

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

/// Asks for the whole state of both streams, while the log cannot be read.
struct FetchState
{
    bool operator==(const FetchState &) const = default;

    template<class Archive>
    void serialize(Archive &)
    {
    }
};

/// Both streams as far as the other instance has read them.
struct FetchedState
{
    configuration::Snapshot m_configuration;
    records::Snapshot m_records;

    bool operator==(const FetchedState &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_configuration, m_records);
    }
};

/// What one instance asks of another over TCP.
using PeerCall = std::variant<requests::ForwardedRequest, RequestQuery, requests::Handover, FetchState>;

/// What it answers.
using PeerReply = std::variant<requests::ForwardedAnswer, RequestInProgress, UnknownRequest, requests::HandoverAnswer, FetchedState>;

}

#endif
