#ifndef COMPONENTS_INSTANCE_CORE_HPP
#define COMPONENTS_INSTANCE_CORE_HPP

#include "components/api/job_view.hpp"
#include "components/configuration/change.hpp"
#include "components/configuration/stream_reader.hpp"
#include "components/drain/state.hpp"
#include "components/duty/state.hpp"
#include "components/fleet/incarnation.hpp"
#include "components/instance/command_gate.hpp"
#include "components/instance/log_reader.hpp"
#include "components/instance/log_writer.hpp"
#include "components/instance/open_peer_calls.hpp"
#include "components/instance/ports.hpp"
#include "components/instance/worker_links.hpp"
#include "components/membership/state.hpp"
#include "components/metrics/registry.hpp"
#include "components/platform/platform_list.hpp"
#include "components/records/batcher.hpp"
#include "components/records/stream_reader.hpp"
#include "components/report/stats_history.hpp"
#include "components/requests/events.hpp"
#include "components/requests/state.hpp"
#include "components/scheduler/state.hpp"
#include "components/settings/daemon_settings.hpp"
#include "components/wire/keys.hpp"
#include "components/wire/replay_guard.hpp"
#include "components/zones/start_permission.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace instance
{

/// An operator's change that was appended to the log and has no result yet.
struct PendingChange
{
    requests::WaiterId m_waiter;
    AppendTicket m_ticket;
    fleet::TimePoint m_deadline;
    configuration::Change m_change;
};

/// A caller who waits until a record about a job is read back from the log and applied.
struct PendingJobCall
{
    requests::WaiterId m_waiter;
    fleet::JobId m_job;
    fleet::TimePoint m_deadline;
    bool m_isCancel = false;
};

/// The scheduling of this instance's zone. Exists while the instance holds the zone's scheduling duty.
struct ZoneScheduling
{
    scheduler::State m_scheduler;
    fleet::FencingToken m_token;
    WorkerLinks m_links;
    CommandGate m_gate;
    std::optional<std::vector<scheduler::ZoneAccount>> m_policy;
    bool m_startsAllowed = false;
    fleet::TimePoint m_lastTickAt;
    std::map<fleet::WorkerId, platform::WorkerEntry> m_listed;
    /// Workers that are missing from the platform's list, and since when.
    std::map<fleet::WorkerId, fleet::TimePoint> m_missingSince;
};

/// The platform's list as last read.
struct PlatformView
{
    bool m_inFlight = false;
    fleet::TimePoint m_listRequestSentAt;
    fleet::TimePoint m_loadRequestsSentAt;
    platform::PlatformList m_list;
    /// Addresses stay after a target has left the list, for messages that still have to be sent to it.
    std::map<fleet::WorkerId, http::Address> m_workers;
    std::map<fleet::RunnerId, http::Address> m_runners;
};

/// History and statistics of jobs that this instance collects from the system stream, in addition to the job table.
struct JobHistory
{
    std::map<fleet::JobId, std::vector<api::HistoryLine>> m_histories;
    std::map<fleet::JobId, fleet::TimePoint> m_firstStarts;
    report::StatsHistory m_reportTotals;
};

/// Answers to requests of one account since the counts were last recorded.
struct AnswerCounts
{
    std::int64_t m_done = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_unknown = 0;
};

/// Timing of the snapshots, and of the requests for another instance's state while the log is unreachable.
struct StateTransfer
{
    fleet::TimePoint m_readingSince;
    bool m_systemSnapshotInFlight = false;
    fleet::TimePoint m_configurationSnapshotAt;
    bool m_fetchInFlight = false;
    fleet::TimePoint m_fetchedAt;
};

/// All control state of one instance. Only the control thread accesses it.
struct Core
{
    settings::DaemonSettings m_settings;
    fleet::Incarnation m_incarnation;
    Ports m_ports;
    wire::Keys m_requestKeys;
    wire::Keys m_peerKeys;
    wire::ReplayGuard m_datagramGuard;
    std::uint64_t m_lastDatagram = 0;

    configuration::StreamReader m_configuration;
    LogReader m_configurationReader;
    LogWriter<std::string> m_configurationWriter;
    std::map<configuration::ChangeId, PendingChange> m_changes;
    /// Take-outs made while the log was unreachable that this instance has appended to the log since.
    std::set<configuration::ChangeId> m_sentTakeOuts;

    records::StreamReader m_records;
    LogReader m_systemReader;
    records::Batcher m_batcher;
    std::map<records::RecordId, PendingJobCall> m_jobCalls;
    JobHistory m_jobHistory;

    membership::State m_membership;
    duty::State m_duty;
    std::optional<ZoneScheduling> m_zone;
    zones::Settings m_zoneSettings;
    drain::State m_drain;
    bool m_exited = false;
    bool m_exitedClean = false;

    requests::State m_requests;
    std::vector<requests::AccountShare> m_shares;
    OpenPeerCalls m_peerCalls;
    PlatformView m_platform;
    std::map<fleet::AccountId, AnswerCounts> m_answerCounts;
    fleet::TimePoint m_answersRecordedAt;
    StateTransfer m_stateTransfer;
    std::unique_ptr<metrics::Registry> m_metrics;
};

/// The state of a new incarnation.
Core makeCore(const settings::DaemonSettings &settings, fleet::Incarnation incarnation, Ports ports);

/// True if both streams have been read to their end and the last read of each succeeded.
bool isLogReachable(const Core &core);

}

#endif
