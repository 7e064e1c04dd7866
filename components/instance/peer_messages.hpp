#ifndef COMPONENTS_INSTANCE_PEER_MESSAGES_HPP
#define COMPONENTS_INSTANCE_PEER_MESSAGES_HPP

#include "components/configuration/record.hpp"
#include "components/records/stream_reader.hpp"
#include "components/requests/handover.hpp"
#include "components/requests/messages.hpp"

#include <variant>

namespace instance
{

/// Queries the state of a request without submitting it.
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

/// The instance that dispatches the request has no final answer yet.
struct RequestInProgress
{
    bool operator==(const RequestInProgress &) const = default;

    template<class Archive>
    void serialize(Archive &)
    {
    }
};

/// The request is not in the table of the queried instance.
struct UnknownRequest
{
    bool operator==(const UnknownRequest &) const = default;

    template<class Archive>
    void serialize(Archive &)
    {
    }
};

/// Requests the complete state of both streams while the log cannot be read.
struct FetchState
{
    bool operator==(const FetchState &) const = default;

    template<class Archive>
    void serialize(Archive &)
    {
    }
};

/// Snapshots of both streams as far as the replying instance has read them.
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

/// A call from one instance to another over TCP.
using PeerCall = std::variant<requests::ForwardedRequest, RequestQuery, requests::Handover, FetchState>;

/// The reply to a PeerCall.
using PeerReply = std::variant<requests::ForwardedAnswer, RequestInProgress, UnknownRequest, requests::HandoverAnswer, FetchedState>;

}

#endif
