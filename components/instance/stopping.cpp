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
    log().info("The planned stop begins.");
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
    log().info("Request ids are handed over to " + send.m_successor.value() + ".");
    core.m_forwards.m_heir = send.m_successor;
    actOnRequests(core, actions, now);
    callPeer(core, {ForwardKind::Handover, {}, {}, 1, send.m_successor}, handover, handoverTimeout, now);
}

void act(Core &core, const drain::NotifyProcessEnding &, fleet::TimePoint now)
{
    feedMembership(core, membership::Ending {}, now);
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

/// Forwards of callers and their calls about jobs that have no answer yet.
bool hasOpenCalls(const Core &core)
{
    return !core.m_forwards.m_sendings.empty() || !core.m_jobCalls.empty() || !core.m_changes.empty();
}

drain::Progress progressOf(const Core &core, fleet::TimePoint now)
{
    drain::Progress progress;
    progress.m_requestsIdle = requests::isIdle(core.m_requests) && !hasOpenCalls(core);
    progress.m_recordsFlushed = core.m_batcher.m_pending.empty() && core.m_configurationWriter.m_pending.empty();
    progress.m_successor = membership::chooseHeir(core.m_membership, now);
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

void endHandover(Core &core, const fleet::InstanceId &heir, const PeerCallEnded &event, fleet::TimePoint now)
{
    if (!event.m_reply) {
        return;
    }
    if (const auto *answer = std::get_if<requests::HandoverAnswer>(&*event.m_reply)) {
        feedDrain(core, drain::HandoverAnswered {heir, answer->m_taken}, now);
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
