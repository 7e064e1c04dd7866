#include "components/instance/zone_scheduling.hpp"

#include "components/configuration/resolve.hpp"
#include "components/duty/step.hpp"
#include "components/instance/core.hpp"
#include "components/instance/peer_view.hpp"
#include "components/instance/scheduler_records.hpp"
#include "components/instance/zone_view.hpp"
#include "components/logging/log.hpp"
#include "components/membership/view.hpp"
#include "components/scheduler/step.hpp"

namespace instance
{

namespace
{

constexpr fleet::Duration schedulerTick {500};

const logging::Log &log()
{
    static const logging::Log log("scheduling");
    return log;
}

/// A worker counts as removed once it has been missing from the list for the length of a lease plus this time, because the
/// list lags.
constexpr fleet::Duration removalDelay {60'000};

/// Queues the commands for their workers. Drops renewals while the holder has no authority.
void queueCommands(Core &core, const std::vector<scheduler::WorkerCommand> &commands, fleet::TimePoint now)
{
    const bool mayRenew = duty::mayRenew(core.m_duty, now);
    for (const scheduler::WorkerCommand &command : commands) {
        if (mayRenew || command.m_kind != scheduler::CommandKind::Renew) {
            addCommand(core.m_zone->m_links, command);
        }
    }
}

void carryOut(Core &core, const std::vector<scheduler::Action> &actions, fleet::TimePoint now)
{
    recordDecisions(core, actions, now);
    for (const scheduler::Action &action : actions) {
        if (const auto *command = std::get_if<scheduler::WorkerCommand>(&action)) {
            queueCommands(core, pass(core.m_zone->m_gate, *command), now);
        }
    }
}

void sendWorkerMessages(Core &core, fleet::TimePoint now)
{
    if (!core.m_zone) {
        return;
    }
    for (const WorkerMessage &message : beginMessages(core.m_zone->m_links, core.m_zone->m_token, now)) {
        const auto address = core.m_platform.m_workers.find(message.m_worker);
        if (address == core.m_platform.m_workers.end()) {
            endMessage(core.m_zone->m_links, message.m_worker, false, false);
            continue;
        }
        core.m_ports.m_sendToWorker(address->second, message);
    }
}

void refreshPolicy(Core &core, fleet::TimePoint now)
{
    const auto accounts = configuration::resolve(core.m_configuration.m_configuration, core.m_settings.m_zone, now);
    if (core.m_zone->m_policy != accounts) {
        core.m_zone->m_policy = accounts;
        feedScheduler(core, scheduler::PolicyChanged {accounts}, now);
    }
}

void refreshStartsAllowed(Core &core, fleet::TimePoint now)
{
    const bool allowed = duty::mayStart(core.m_duty, now) && zones::isAllowed(startPermission(core, now));
    if (allowed != core.m_zone->m_startsAllowed) {
        core.m_zone->m_startsAllowed = allowed;
        log().info(allowed ? "New tasks may start." : "No new task may start.");
        feedScheduler(core, scheduler::StartsAllowed {allowed}, now);
    }
}

void act(Core &core, const duty::Claim &claim, fleet::TimePoint now)
{
    records::add(core.m_batcher, core.m_settings.m_zone, {}, records::SchedulerClaimed {claim.m_replaces}, now);
}

void act(Core &core, const duty::Release &release, fleet::TimePoint now)
{
    records::add(core.m_batcher, core.m_settings.m_zone, release.m_token, records::SchedulerReleased {}, now);
}

void act(Core &, const duty::RaiseToken &, fleet::TimePoint)
{
    // The worker links poll every worker that has not answered yet, with the token.
}

void act(Core &core, const duty::StartScheduling &begin, fleet::TimePoint now)
{
    log().info("This instance schedules zone " + core.m_settings.m_zone.value() + " under token " + std::to_string(begin.m_token.m_value) + ".");
    core.m_zone.emplace();
    core.m_zone->m_token = begin.m_token;
    core.m_zone->m_scheduler.m_settings.m_leaseLength = core.m_settings.m_leaseLength;
    core.m_zone->m_scheduler.m_settings.m_renewInterval = core.m_settings.m_renewInterval;
    refreshPolicy(core, now);
    for (const scheduler::Event &event : rebuildEvents(core)) {
        feedScheduler(core, event, now);
    }
    refreshWorkers(core, core.m_platform.m_list, now);
}

void act(Core &core, const duty::StopScheduling &, fleet::TimePoint)
{
    log().info("This instance no longer schedules zone " + core.m_settings.m_zone.value() + ".");
    core.m_zone.reset();
}

/// Returns the workers of this zone from the list.
std::map<fleet::WorkerId, platform::WorkerEntry> ownWorkers(const Core &core, const platform::PlatformList &list)
{
    std::map<fleet::WorkerId, platform::WorkerEntry> own;
    for (const platform::WorkerEntry &entry : list.m_workers) {
        if (entry.m_info.m_zone == core.m_settings.m_zone) {
            own.emplace(entry.m_info.m_id, entry);
        }
    }
    return own;
}

std::vector<fleet::WorkerId> identifiersOf(const std::map<fleet::WorkerId, platform::WorkerEntry> &workers)
{
    std::vector<fleet::WorkerId> identifiers;
    identifiers.reserve(workers.size());
    for (const auto &[id, entry] : workers) {
        identifiers.push_back(id);
    }
    return identifiers;
}

/// Removes workers that have been missing from the list for a lease plus `removalDelay`.
void removeMissing(Core &core, const std::map<fleet::WorkerId, platform::WorkerEntry> &own, fleet::TimePoint now)
{
    ZoneScheduling &zone = *core.m_zone;
    for (const auto &[id, entry] : zone.m_listed) {
        if (!own.contains(id)) {
            zone.m_missingSince.try_emplace(id, now);
        }
    }
    std::erase_if(zone.m_missingSince, [&](const auto &missing) {
        return own.contains(missing.first);
    });
    std::vector<fleet::WorkerId> removed;
    for (const auto &[id, since] : zone.m_missingSince) {
        if (since + core.m_settings.m_leaseLength + removalDelay <= now) {
            removed.push_back(id);
        }
    }
    for (const fleet::WorkerId &id : removed) {
        zone.m_missingSince.erase(id);
        zone.m_listed.erase(id);
        removeWorker(zone.m_links, id);
        feedScheduler(core, scheduler::WorkerRemoved {id}, now);
    }
}

}

void tickScheduling(Core &core, fleet::TimePoint now)
{
    const records::Holder *holder = core.m_records.m_state.findHolder(core.m_settings.m_zone);
    feedDuty(core, membership::dutyView(core.m_membership, holder ? *holder : records::Holder(), now), now);
    feedDuty(core, duty::Tick {}, now);
    if (!core.m_zone) {
        return;
    }
    refreshPolicy(core, now);
    refreshStartsAllowed(core, now);
    if (now >= core.m_zone->m_lastTickAt + schedulerTick) {
        core.m_zone->m_lastTickAt = now;
        feedScheduler(core, scheduler::Tick {}, now);
    }
    const std::uint64_t unrecorded = core.m_batcher.m_pending.empty() ? core.m_batcher.m_lastCounter + 1 : core.m_batcher.m_pending.front().m_id.m_counter;
    queueCommands(core, release(core.m_zone->m_gate, {unrecorded - 1}, now), now);
    sendWorkerMessages(core, now);
}

void onHolderRead(Core &core, fleet::TimePoint now)
{
    if (!core.m_records.m_complete) {
        return;
    }
    const records::Holder *holder = core.m_records.m_state.findHolder(core.m_settings.m_zone);
    feedDuty(core, duty::HolderRead {holder ? *holder : records::Holder(), core.m_systemReader.m_requestSentAt}, now);
    if (holder) {
        feedMembership(core, membership::TokenKnown {holder->m_token}, now);
    }
}

void feedDuty(Core &core, const duty::Event &event, fleet::TimePoint now)
{
    for (const duty::Action &action : duty::step(core.m_duty, event, now)) {
        std::visit(
            [&](const auto &value) {
                act(core, value, now);
            },
            action);
    }
}

void feedScheduler(Core &core, const scheduler::Event &event, fleet::TimePoint now)
{
    if (core.m_zone) {
        carryOut(core, scheduler::step(core.m_zone->m_scheduler, event, now), now);
    }
}

void onWorkerMessageEnded(Core &core, const WorkerMessageEnded &event, fleet::TimePoint now)
{
    if (!core.m_zone || event.m_fence != core.m_zone->m_token) {
        return;
    }
    const platform::CommandResult &result = event.m_result;
    const bool answered = result.m_outcome == platform::CommandOutcome::Reported;
    const fleet::TimePoint requestSentAt = endMessage(core.m_zone->m_links, event.m_worker, answered, !result.m_tasks.empty());
    if (answered) {
        feedScheduler(core, scheduler::WorkerReported {event.m_worker, result.m_tasks, requestSentAt}, now);
        feedDuty(core, duty::WorkerAnswered {event.m_worker, event.m_fence}, now);
    } else if (result.m_outcome == platform::CommandOutcome::Fenced) {
        feedDuty(core, duty::WorkerRefused {event.m_worker, result.m_fence}, now);
    }
    sendWorkerMessages(core, now);
}

void refreshWorkers(Core &core, const platform::PlatformList &list, fleet::TimePoint now)
{
    const auto own = ownWorkers(core, list);
    if (!list.m_workers.empty()) {
        feedDuty(core, duty::WorkersListed {identifiersOf(own)}, now);
    }
    if (!core.m_zone) {
        return;
    }
    removeMissing(core, own, now);
    for (const auto &[id, entry] : own) {
        const auto known = core.m_zone->m_listed.find(id);
        if (known == core.m_zone->m_listed.end() || known->second != entry) {
            addWorker(core.m_zone->m_links, id);
            core.m_zone->m_listed[id] = entry;
            feedScheduler(core, scheduler::WorkerListed {entry.m_info, entry.m_leaving}, now);
        }
    }
}

}
