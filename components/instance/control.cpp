#include "components/instance/control.hpp"

#include "components/instance/answer_counts.hpp"
#include "components/instance/configuration_calls.hpp"
#include "components/instance/control_loop_metrics.hpp"
#include "components/instance/core.hpp"
#include "components/instance/job_calls.hpp"
#include "components/instance/log_exchange.hpp"
#include "components/instance/metrics_view.hpp"
#include "components/instance/peer_calls.hpp"
#include "components/instance/peer_view.hpp"
#include "components/instance/platform_reads.hpp"
#include "components/instance/request_calls.hpp"
#include "components/instance/state_transfer.hpp"
#include "components/instance/status_calls.hpp"
#include "components/instance/stopping.hpp"
#include "components/instance/zone_scheduling.hpp"
#include "components/instance/zone_view.hpp"

namespace instance
{

namespace
{

void serve(Core &core, requests::WaiterId waiter, const api::ShowHealth &, fleet::TimePoint)
{
    core.m_ports.m_reply(waiter, api::Health {!isStopping(core)});
}

void serve(Core &core, requests::WaiterId waiter, const api::ShowMetrics &, fleet::TimePoint now)
{
    core.m_ports.m_reply(waiter, api::MetricsText {renderMetrics(core, now)});
}

void serve(Core &core, requests::WaiterId waiter, const api::SubmitJob &call, fleet::TimePoint now)
{
    submitJob(core, waiter, call, now);
}

void serve(Core &core, requests::WaiterId waiter, const api::ShowJob &call, fleet::TimePoint now)
{
    showJob(core, waiter, call.m_job, now);
}

void serve(Core &core, requests::WaiterId waiter, const api::ExplainJob &call, fleet::TimePoint now)
{
    showJob(core, waiter, call.m_job, now);
}

void serve(Core &core, requests::WaiterId waiter, const api::CancelJob &call, fleet::TimePoint now)
{
    cancelJob(core, waiter, call, now);
}

void serve(Core &core, requests::WaiterId waiter, const api::ListJobs &call, fleet::TimePoint now)
{
    listJobs(core, waiter, call, now);
}

void serve(Core &core, requests::WaiterId waiter, const api::IssueRequestIds &call, fleet::TimePoint)
{
    issueRequestIds(core, waiter, call);
}

void serve(Core &core, requests::WaiterId waiter, const api::SendRequest &call, fleet::TimePoint now)
{
    sendRequest(core, waiter, call, now);
}

void serve(Core &core, requests::WaiterId waiter, const api::ShowRequest &call, fleet::TimePoint now)
{
    showRequest(core, waiter, call, now);
}

void serve(Core &core, requests::WaiterId waiter, const api::ShowConfiguration &, fleet::TimePoint now)
{
    showConfiguration(core, waiter, now);
}

void serve(Core &core, requests::WaiterId waiter, const api::ChangeConfiguration &call, fleet::TimePoint now)
{
    changeConfiguration(core, waiter, call, now);
}

void serve(Core &core, requests::WaiterId waiter, const api::ShowStatus &, fleet::TimePoint now)
{
    core.m_ports.m_reply(waiter, makeStatus(core, now));
}

void serve(Core &core, requests::WaiterId waiter, const api::ShowReport &call, fleet::TimePoint now)
{
    core.m_ports.m_reply(waiter, makeReport(core, call.m_query, now));
}

void apply(Core &core, const CallReceived &event, fleet::TimePoint now)
{
    std::visit(
        [&](const auto &call) {
            serve(core, event.m_waiter, call, now);
        },
        event.m_call);
}

void apply(Core &core, const LogAppendEnded &event, fleet::TimePoint now)
{
    onAppendEnded(core, event, now);
}

void apply(Core &core, const LogReadEnded &event, fleet::TimePoint now)
{
    onLogReadEnded(core, event, now);
}

void apply(Core &core, const ListReadEnded &event, fleet::TimePoint now)
{
    onListReadEnded(core, event, now);
}

void apply(Core &core, const WorkerMessageEnded &event, fleet::TimePoint now)
{
    onWorkerMessageEnded(core, event, now);
}

void apply(Core &core, const RunEnded &event, fleet::TimePoint now)
{
    onRunEnded(core, event, now);
}

void apply(Core &core, const LoadReadEnded &event, fleet::TimePoint now)
{
    onLoadReadEnded(core, event, now);
}

void apply(Core &core, const DatagramReceived &event, fleet::TimePoint now)
{
    onDatagramReceived(core, event, now);
}

void apply(Core &core, const PeerCallReceived &event, fleet::TimePoint now)
{
    onPeerCallReceived(core, event, now);
}

void apply(Core &core, const PeerCallEnded &event, fleet::TimePoint now)
{
    onPeerCallEnded(core, event, now);
}

void apply(Core &core, const StopRequested &, fleet::TimePoint now)
{
    beginStop(core, now);
}

void apply(Core &core, const Tick &, fleet::TimePoint now)
{
    tickPeers(core, now);
    tickPlatform(core, now);
    tickLog(core, now);
    tickScheduling(core, now);
    feedRequests(core, requests::Tick {}, now);
    expireChanges(core, now);
    expireJobCalls(core, now);
    recordAnswerCounts(core, now);
    tickStateTransfer(core, now);
    tickStop(core, now);
}

}

Control::Control(const settings::DaemonSettings &settings, fleet::Incarnation incarnation, Ports ports)
    : m_core(std::make_unique<Core>(makeCore(settings, incarnation, std::move(ports))))
    , m_metrics(std::make_unique<ControlLoopMetrics>(*m_core->m_metrics))
{
}

Control::~Control() = default;

void Control::handle(const Event &event, fleet::TimePoint now)
{
    m_metrics->count(event);
    std::visit(
        [&](const auto &value) {
            apply(*m_core, value, now);
        },
        event);
    flushLog(*m_core, now);
}

bool Control::isStopped() const
{
    return hasStopped(*m_core);
}

bool Control::isClean() const
{
    return m_core->m_exitedClean;
}

const Core &Control::core() const
{
    return *m_core;
}

}
