#include "components/experiment/zone_loop.hpp"

#include "components/experiment/run_state.hpp"
#include "components/experiment/worker_messages.hpp"
#include "components/scheduler/step.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace experiment
{

namespace
{

constexpr fleet::Duration idlePollInterval = std::chrono::seconds(5);
constexpr fleet::Duration minPolicyDelay {100};
constexpr fleet::Duration maxPolicyDelay = std::chrono::seconds(3);

struct ActionHandler
{
    RunState &m_run;
    std::size_t m_zone;
    fleet::TimePoint m_now;
    std::map<fleet::WorkerId, std::vector<scheduler::WorkerCommand>> m_commands;

    void operator()(const scheduler::WorkerCommand &command)
    {
        m_commands[command.m_worker].push_back(command);
    }

    void operator()(const scheduler::AttemptStarted &) const
    {
    }

    void operator()(const scheduler::AttemptEnded &ended) const
    {
        m_run.m_zones[m_zone].m_waiting.insert(m_run.m_jobIndex.at(ended.m_job));
    }

    void operator()(const scheduler::JobEnded &ended) const
    {
        const std::size_t index = m_run.m_jobIndex.at(ended.m_job);
        JobRecord &record = m_run.m_records[index];
        if (record.m_endedAt) {
            return;
        }
        record.m_endedAt = m_now;
        record.m_outcome = ended.m_outcome;
        --m_run.m_openJobs;
        m_run.m_zones[m_zone].m_waiting.erase(index);
        observeJobEnd(m_run.m_audit, ended.m_job, ended.m_outcome == scheduler::JobOutcome::Done, m_now);
    }
};

void stepZone(RunState &run, std::size_t zone, const scheduler::Event &event, fleet::TimePoint now)
{
    ActionHandler sink {run, zone, now, {}};
    for (const scheduler::Action &action : scheduler::step(run.m_zones[zone].m_scheduler, event, now)) {
        std::visit(sink, action);
    }
    for (const auto &[worker, commands] : sink.m_commands) {
        sendCommands(run, worker, commands, now);
    }
}

/// Delivers the events that arrived during the pause. Starts are disallowed until they were processed, because the
/// scheduler's configuration is stale until then.
void resume(RunState &run, std::size_t zone, fleet::TimePoint now)
{
    ZoneRun &zoneRun = run.m_zones[zone];
    if (now < zoneRun.m_pausedUntil) {
        return;
    }
    const std::vector<scheduler::Event> inbox = std::exchange(zoneRun.m_delayedEvents, {});
    stepZone(run, zone, scheduler::StartsAllowed {false}, now);
    for (const scheduler::Event &event : inbox) {
        stepZone(run, zone, event, now);
    }
    stepZone(run, zone, scheduler::StartsAllowed {!zoneRun.m_outSince.has_value()}, now);
}

}

void deliver(RunState &run, std::size_t zone, scheduler::Event event, fleet::TimePoint now)
{
    ZoneRun &zoneRun = run.m_zones[zone];
    if (now < zoneRun.m_pausedUntil) {
        zoneRun.m_delayedEvents.push_back(std::move(event));
        return;
    }
    stepZone(run, zone, event, now);
}

void pauseScheduler(RunState &run, std::size_t zone, fleet::TimePoint until)
{
    run.m_zones[zone].m_pausedUntil = until;
    run.m_timers.add(until, [&run, zone](fleet::TimePoint now) {
        resume(run, zone, now);
    });
}

void tickScheduler(RunState &run, std::size_t zone, fleet::TimePoint now)
{
    if (now < run.m_zones[zone].m_pausedUntil) {
        return;
    }
    stepZone(run, zone, scheduler::Tick {}, now);
    for (const WorkerRun &worker : run.m_workers) {
        if (worker.m_zone == zone && worker.m_lastRequestSentAt + idlePollInterval <= now) {
            sendCommands(run, worker.m_fake.m_info.m_id, {}, now);
        }
    }
}

void publishPolicy(RunState &run, fleet::TimePoint now)
{
    for (std::size_t zone = 0; zone < run.m_zones.size(); ++zone) {
        const fleet::Duration delay = uniformDuration(run.m_random, minPolicyDelay, maxPolicyDelay);
        run.m_timers.add(now + delay, [&run, zone](fleet::TimePoint at) {
            deliver(run, zone, scheduler::StartsAllowed {!run.m_zones[zone].m_outSince.has_value()}, at);
            deliver(run, zone, scheduler::PolicyChanged {zoneAccounts(run, zone)}, at);
        });
    }
}

std::vector<scheduler::ZoneAccount> zoneAccounts(const RunState &run, std::size_t zone)
{
    const auto isOut = [&run](const fleet::ZoneId &id) {
        for (std::size_t other = 0; other < run.m_zones.size(); ++other) {
            if (run.m_site.m_zones[other] == id) {
                return run.m_zones[other].m_outSince.has_value();
            }
        }
        return true;
    };
    std::vector<scheduler::ZoneAccount> accounts;
    for (const fleet::AccountPolicy &policy : run.m_site.m_accounts) {
        scheduler::ZoneAccount account {policy.m_account, {}, policy.m_quota, policy.m_urgentPerHour, policy.m_weight};
        for (const fleet::GuaranteedShape &guarantee : policy.m_guarantees) {
            const auto pinned = std::find_if_not(guarantee.m_zones.begin(), guarantee.m_zones.end(), isOut);
            if (pinned != guarantee.m_zones.end() && *pinned == run.m_site.m_zones[zone]) {
                account.m_guarantees.insert(account.m_guarantees.end(), static_cast<std::size_t>(guarantee.m_count), guarantee.m_shape);
            }
        }
        accounts.push_back(account);
    }
    return accounts;
}

}
