#include "components/instance/scheduler_records.hpp"

#include "components/instance/core.hpp"

namespace instance
{

namespace
{

/// Appends a record under this holder's token and returns the ticket that the dependent commands wait for.
AppendTicket add(Core &core, const records::Body &body, fleet::TimePoint now)
{
    return {records::add(core.m_batcher, core.m_settings.m_zone, core.m_zone->m_token, body, now).m_counter};
}

void record(Core &core, const scheduler::AttemptStarted &started, fleet::TimePoint now)
{
    const AppendTicket ticket = add(core, records::AttemptStarted {started.m_job, started.m_attempt, started.m_workers}, now);
    if (isLogReachable(core)) {
        holdStart(core.m_zone->m_gate, started.m_job, ticket, now);
    }
}

void record(Core &core, const scheduler::AttemptEnded &ended, fleet::TimePoint now)
{
    const records::AttemptEnded body {ended.m_job, ended.m_attempt, ended.m_checkpointed, ended.m_reason};
    holdForgets(core.m_zone->m_gate, ended.m_job, add(core, body, now));
}

void record(Core &core, const scheduler::JobEnded &ended, fleet::TimePoint now)
{
    const records::JobEnded body {ended.m_job, ended.m_attempt, ended.m_outcome, ended.m_reason};
    holdForgets(core.m_zone->m_gate, ended.m_job, add(core, body, now));
}

void record(Core &, const scheduler::WorkerCommand &, fleet::TimePoint)
{
    // Commands are not recorded.
}

}

void recordDecisions(Core &core, const std::vector<scheduler::Action> &actions, fleet::TimePoint now)
{
    for (const scheduler::Action &action : actions) {
        std::visit(
            [&](const auto &value) {
                record(core, value, now);
            },
            action);
    }
}

std::vector<scheduler::Event> rebuildEvents(const Core &core)
{
    std::vector<scheduler::Event> events;
    for (const auto &[id, job] : core.m_records.m_state.m_jobs) {
        if (job.m_zone != core.m_settings.m_zone || job.m_phase == records::JobPhase::Ended) {
            continue;
        }
        events.emplace_back(scheduler::JobArrived {job.m_spec, job.m_attempts, job.m_checkpointed});
        if (job.m_cancelled) {
            events.emplace_back(scheduler::JobCancelRequested {id});
        }
    }
    return events;
}

}
