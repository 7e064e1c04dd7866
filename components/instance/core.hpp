#ifndef COMPONENTS_INSTANCE_CORE_HPP
#define COMPONENTS_INSTANCE_CORE_HPP

#include "components/api/job_view.hpp"
#include "components/configuration/change.hpp"
#include "components/configuration/fold.hpp"
#include "components/drain/state.hpp"
#include "components/duty/state.hpp"
#include "components/fleet/incarnation.hpp"
#include "components/instance/command_gate.hpp"
#include "components/instance/forwards.hpp"
#include "components/instance/log_reader.hpp"
#include "components/instance/log_writer.hpp"
#include "components/instance/ports.hpp"
#include "components/instance/worker_links.hpp"
#include "components/membership/state.hpp"
#include "components/metrics/registry.hpp"
#include "components/platform/platform_list.hpp"
#include "components/records/batcher.hpp"
#include "components/records/stream_fold.hpp"
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

/// An operator's change that was sent to the log and whose result is awaited.
struct PendingChange
{
    requests::WaiterId m_waiter;
    AppendTicket m_ticket;
    fleet::TimePoint m_deadline;
    configuration::Change m_change;
};

/// A caller who waits for a record about a job to be folded.
struct PendingJobCall
{
    requests::WaiterId m_waiter;
    fleet::JobId m_job;
    fleet::TimePoint m_deadline;
    bool m_isCancel = false;
};

/// The scheduling of this instance's zone, while it holds the duty.
struct ZoneScheduling
{
    scheduler::State m_scheduler;
    fleet::FencingToken m_token;
    WorkerLinks m_links;
    CommandGate m_gate;
    std::optional<std::vector<scheduler::ZoneAccount>> m_policy;
    bool m_startsAllowed = false;
    fleet::TimePoint m_tickAt;
    std::map<fleet::WorkerId, platform::WorkerEntry> m_listed;
    /// Workers that are missing from the list, and since when.
    std::map<fleet::WorkerId, fleet::TimePoint> m_missing;
};

/// What was last read from the platform's list.
struct ListView
{
    bool m_inFlight = false;
    fleet::TimePoint m_askedAt;
    fleet::TimePoint m_loadsAskedAt;
    platform::PlatformList m_list;
    /// Addresses are kept after a target left the list, for what is still to be said to it.
    std::map<fleet::WorkerId, http::Address> m_workers;
    std::map<fleet::RunnerId, http::Address> m_runners;
};

/// What this instance itself has learned about jobs from the system's stream, beside the ledger.
struct JobNotes
{
    std::map<fleet::JobId, std::vector<api::HistoryLine>> m_histories;
    std::map<fleet::JobId, fleet::TimePoint> m_firstStarts;
    report::StatsHistory m_figures;
};

/// Sendings of callers that were answered since they were last recorded, of one account.
struct AnswerCounts
{
    std::int64_t m_done = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_unknown = 0;
};

/// When snapshots are written and what other instances are asked for while the log is down.
struct StateCopies
{
    fleet::TimePoint m_readingSince;
    bool m_systemSnapshotInFlight = false;
    fleet::TimePoint m_configurationSnapshotAt;
    bool m_fetchInFlight = false;
    fleet::TimePoint m_fetchedAt;
};

/// All control state of one instance. Only the control thread touches it.
struct Core
{
    settings::DaemonSettings m_settings;
    fleet::Incarnation m_incarnation;
    Ports m_ports;
    wire::Keys m_requestKeys;
    wire::Keys m_peerKeys;
    wire::ReplayGuard m_datagramGuard;
    std::uint64_t m_lastDatagram = 0;

    configuration::State m_configuration;
    LogReader m_configurationReader;
    LogWriter<std::string> m_configurationWriter;
    std::map<configuration::ChangeId, PendingChange> m_changes;
    /// Take-outs made while the log was down that this instance has sent to the log since.
    std::set<configuration::ChangeId> m_sentTakeOuts;

    records::State m_records;
    LogReader m_systemReader;
    records::Batcher m_batcher;
    std::map<records::RecordId, PendingJobCall> m_jobCalls;
    JobNotes m_jobNotes;

    membership::State m_membership;
    duty::State m_duty;
    std::optional<ZoneScheduling> m_zone;
    zones::Settings m_zoneSettings;
    drain::State m_drain;
    bool m_exited = false;
    bool m_exitedClean = false;

    requests::State m_requests;
    std::vector<requests::AccountShare> m_shares;
    Forwards m_forwards;
    ListView m_platform;
    std::map<fleet::AccountId, AnswerCounts> m_answerCounts;
    fleet::TimePoint m_answersRecordedAt;
    StateCopies m_copies;
    std::unique_ptr<metrics::Registry> m_metrics;
};

/// The state of a new incarnation.
Core makeCore(const settings::DaemonSettings &settings, fleet::Incarnation incarnation, Ports ports);

/// True where the last reads of both streams gave a page.
bool isLogReachable(const Core &core);

}

#endif
