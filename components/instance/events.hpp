#ifndef COMPONENTS_INSTANCE_EVENTS_HPP
#define COMPONENTS_INSTANCE_EVENTS_HPP

#include "components/api/call.hpp"
#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/http/result_kind.hpp"
#include "components/instance/log_stream.hpp"
#include "components/instance/peer_call_id.hpp"
#include "components/instance/peer_messages.hpp"
#include "components/platform/append_result.hpp"
#include "components/platform/command_result.hpp"
#include "components/platform/list_result.hpp"
#include "components/platform/load_result.hpp"
#include "components/platform/read_result.hpp"
#include "components/platform/run_result.hpp"
#include "components/requests/waiter.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace instance
{

/// A caller or operator sent a call that was parsed and authorized.
struct CallReceived
{
    requests::WaiterId m_waiter;
    api::Call m_call;
};

struct LogAppendEnded
{
    LogStream m_stream = LogStream::System;
    /// The value that was passed to the append.
    std::uint64_t m_upTo = 0;
    platform::AppendResult m_result;
};

struct LogReadEnded
{
    LogStream m_stream = LogStream::System;
    platform::ReadResult m_result;
};

struct ListReadEnded
{
    platform::ListResult m_result;
};

struct WorkerMessageEnded
{
    fleet::WorkerId m_worker;
    /// Token of the message that ended, so that an answer to a message of an earlier duty is not attributed to the current one.
    fleet::FencingToken m_fence;
    platform::CommandResult m_result;
};

struct RunEnded
{
    fleet::RunnerId m_runner;
    fleet::RequestId m_request;
    int m_attempt = 0;
    platform::RunResult m_result;
};

struct LoadReadEnded
{
    fleet::RunnerId m_runner;
    platform::LoadResult m_result;
};

struct DatagramReceived
{
    std::string m_bytes;
};

/// Another instance called and waits for the reply.
struct PeerCallReceived
{
    requests::WaiterId m_waiter;
    PeerCall m_call;
};

struct PeerCallEnded
{
    PeerCallId m_id;
    /// Answered also if the reply could not be read; m_reply is then absent.
    http::ResultKind m_kind = http::ResultKind::Unknown;
    std::optional<PeerReply> m_reply;
};

/// A planned stop was requested.
struct StopRequested
{
};

/// Lets time pass. Sent at least every 50 ms.
struct Tick
{
};

using Event = std::variant<CallReceived,
                           LogAppendEnded,
                           LogReadEnded,
                           ListReadEnded,
                           WorkerMessageEnded,
                           RunEnded,
                           LoadReadEnded,
                           DatagramReceived,
                           PeerCallReceived,
                           PeerCallEnded,
                           StopRequested,
                           Tick>;

}

#endif
