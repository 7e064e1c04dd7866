#include "components/instance/stopping.hpp"

#include "components/drain/step.hpp"
#include "components/instance/core.hpp"
#include "components/instance/peer_calls.hpp"
#include "components/instance/peer_view.hpp"
#include "components/instance/request_calls.hpp"
#include "components/instance/zone_scheduling.hpp"
#include "components/logging/log.hpp"
#include "components/membership/view.hpp"
#include "components/requests/step.hpp"

namespace instance
{

namespace
{

constexpr fleet::Duration handoverTimeout {2000};

void feedDrain(Core &core, const drain::Event &event, fleet::TimePoint now);

const logging::Log &log()
{
    static const logging::Log log("stop");
    return log;
}

void act(Core &core, const drain::BeginLeaving &, fleet::TimePoint now)
{
    log().info("Planned stop started.");
    feedMembership(core, membership::StopRequested {}, now);
    feedDuty(core, duty::StopRequested {}, now);
    feedRequests(core, requests::StopRequested {}, now);
}

void act(Core &core, const drain::StopListening &, fleet::TimePoint)
{
    core.m_ports.m_stopListening();
}

void act(Core &core, const drain::SendHandover &send, fleet::TimePoint now)
{
    std::vector<requests::Action> actions;
    const requests::Handover handover = requests::handOver(core.m_requests, actions, now);
    log().info("Handing over request ids to " + send.m_successor.value() + ".");
    core.m_peerCalls.m_successor = send.m_successor;
    actOnRequests(core, actions, now);
    callPeer(core, {PeerCallKind::Handover, {}, {}, 1, send.m_successor}, handover, handoverTimeout, now);
}

void act(Core &core, const drain::NotifyProcessEnding &, fleet::TimePoint now)
{
    feedMembership(core, membership::ProcessEnding {}, now);
}

void act(Core &core, const drain::Exit &exit, fleet::TimePoint)
{
    core.m_exited = true;
    core.m_exitedClean = exit.m_clean;
}

void feedDrain(Core &core, const drain::Event &event, fleet::TimePoint now)
{
    for (const drain::Action &action : drain::step(core.m_drain, event, now)) {
        std::visit(
            [&](const auto &value) {
                act(core, value, now);
            },
            action);
    }
}

/// True if callers or operators wait for an answer about a request, a job or a configuration change.
bool hasOpenCalls(const Core &core)
{
    return !core.m_peerCalls.m_pendingRequests.empty() || !core.m_jobCalls.empty() || !core.m_changes.empty();
}

drain::Progress progressOf(const Core &core, fleet::TimePoint now)
{
    drain::Progress progress;
    progress.m_requestsIdle = requests::isIdle(core.m_requests) && !hasOpenCalls(core);
    progress.m_recordsFlushed = core.m_batcher.m_pending.empty() && core.m_configurationWriter.m_pending.empty();
    progress.m_successor = membership::chooseSuccessor(core.m_membership, now);
    return progress;
}

}

void beginStop(Core &core, fleet::TimePoint now)
{
    feedDrain(core, drain::StopSignal {}, now);
}

void tickStop(Core &core, fleet::TimePoint now)
{
    if (isStopping(core)) {
        feedDrain(core, progressOf(core, now), now);
        feedDrain(core, drain::Tick {}, now);
    }
}

void onHandoverEnded(Core &core, const fleet::InstanceId &successor, const PeerCallEnded &event, fleet::TimePoint now)
{
    if (!event.m_reply) {
        return;
    }
    if (const auto *answer = std::get_if<requests::HandoverAnswer>(&*event.m_reply)) {
        feedDrain(core, drain::HandoverAnswered {successor, answer->m_accepted}, now);
    }
}

bool isStopping(const Core &core)
{
    return core.m_drain.m_phase != drain::Phase::Serving;
}

bool hasStopped(const Core &core)
{
    return core.m_exited;
}

}
