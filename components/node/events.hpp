#ifndef COMPONENTS_NODE_EVENTS_HPP
#define COMPONENTS_NODE_EVENTS_HPP

#include "components/callers/call.hpp"
#include "components/catalog/operator_config_read.hpp"
#include "components/fleet/boot_time.hpp"
#include "components/machines/upkeep_order.hpp"
#include "components/machines/upkeep_outcome.hpp"
#include "components/machines/wave_report.hpp"
#include "components/node/append_tag.hpp"
#include "components/store/append_result.hpp"
#include "components/store/keyed_record.hpp"
#include "components/store/read_call.hpp"
#include "components/store/read_result.hpp"
#include "components/workers/advice_answer.hpp"
#include "components/workers/advice_question.hpp"
#include "components/workers/order_result.hpp"
#include "components/workers/poll_order.hpp"
#include "components/workers/poll_result.hpp"
#include "components/workers/start_order.hpp"
#include "components/workers/stop_order.hpp"
#include "components/workers/worker_list_read.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace node
{

/// A caller's call arrived; the reply is sent under its number.
struct CallArrived
{
    std::uint64_t m_call = 0;
    callers::Call m_content;
};

struct AppendEnded
{
    AppendTag m_tag;
    fleet::BootTime m_sentAt;
    store::AppendResult m_result;
};

struct JournalRead
{
    store::ReadCall m_call;
    fleet::BootTime m_sentAt;
    store::ReadResult m_result;
};

struct KeyedReadEnded
{
    fleet::BootTime m_sentAt;
    store::ReadOutcome m_outcome = store::ReadOutcome::NoAnswer;
    std::vector<store::KeyedRecord> m_records;
};

struct OperatorsReadEnded
{
    fleet::BootTime m_sentAt;
    catalog::OperatorConfigRead m_read;
};

struct WorkerListReadEnded
{
    fleet::BootTime m_sentAt;
    workers::WorkerListRead m_read;
};

struct StartEnded
{
    workers::StartOrder m_order;
    workers::OrderResult m_result;
};

struct StopEnded
{
    workers::StopOrder m_order;
    workers::OrderResult m_result;
};

struct PollEnded
{
    workers::PollOrder m_order;
    fleet::BootTime m_sentAt;
    workers::PollResult m_result;
};

struct AdviceEnded
{
    workers::AdviceQuestion m_question;
    fleet::BootTime m_sentAt;
    workers::AdviceAnswer m_answer;
};

struct UpkeepEnded
{
    machines::UpkeepOrder m_order;
    machines::UpkeepOutcome m_outcome = machines::UpkeepOutcome::Unknown;
};

struct WaveReported
{
    machines::WaveReport m_report;
    fleet::FencingToken m_token;
    bool m_isStored = false;
};

/// A datagram from another instance arrived; its sender has not been verified yet.
struct DatagramArrived
{
    std::string m_bytes;
};

/// Clients outside the limits were refused or their connections closed. Sent at most once a second for each listener and cause.
struct ClientsRefused
{
    std::string m_listener;
    std::string m_cause;
    /// Since the previous event of this listener and cause.
    std::uint64_t m_count = 0;
};

/// A handler of the network I/O failed with an error that nobody expected. The call that it belonged to ends as one without an
/// answer.
struct TrafficFailed
{
    std::string m_reason;
};

/// The platform asked the process to stop.
struct StopRequested
{
};

/// Everything that the control thread handles.
using Event = std::variant<CallArrived,
                           AppendEnded,
                           JournalRead,
                           KeyedReadEnded,
                           OperatorsReadEnded,
                           WorkerListReadEnded,
                           StartEnded,
                           StopEnded,
                           PollEnded,
                           AdviceEnded,
                           UpkeepEnded,
                           WaveReported,
                           DatagramArrived,
                           ClientsRefused,
                           TrafficFailed,
                           StopRequested>;

}

#endif
