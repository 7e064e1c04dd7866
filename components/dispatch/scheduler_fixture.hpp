#ifndef COMPONENTS_DISPATCH_SCHEDULER_FIXTURE_HPP
#define COMPONENTS_DISPATCH_SCHEDULER_FIXTURE_HPP

#include "components/catalog/catalog.hpp"
#include "components/catalog/upkeep_wave.hpp"
#include "components/dispatch/candidate.hpp"
#include "components/dispatch/candidates.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/environment.hpp"
#include "components/dispatch/runs.hpp"
#include "components/dispatch/scheduler_events.hpp"
#include "components/dispatch/state.hpp"
#include "components/journal/changes.hpp"
#include "components/journal/journal_state.hpp"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dispatch
{

/// The scheduler of a holder with idle workers, without processes and network, for tests and benchmarks. Time passes only in advance().
class SchedulerFixture
{
public:
    explicit SchedulerFixture(int workerCount = 6, const fleet::Resources &capacity = {32'000, 65'536, 8})
    {
        for (int priority = 0; priority < queueCount; ++priority) {
            catalog::Queue queue;
            queue.m_id = queueOf(priority);
            queue.m_service = fleet::ServiceId("service");
            queue.m_priority = priority;
            queue.m_maxAttempts = 3;
            queue.m_stretch = 3;
            queue.m_slack = std::chrono::seconds(1);
            m_catalog.m_queues.push_back(queue);
        }
        m_state.m_token.m_value = 1;
        takeOver();
        for (int i = 0; i < workerCount; ++i) {
            workers::Registration registration;
            registration.m_incarnation = {fleet::WorkerId("worker-" + std::to_string(i)), 1};
            registration.m_service = fleet::ServiceId("service");
            registration.m_address = "worker-" + std::to_string(i);
            registration.m_zone = fleet::ZoneId("zone");
            registration.m_rack = fleet::RackId("rack-" + std::to_string(i / 2));
            registration.m_capacity = capacity;
            registration.m_clockMs = clockMs();
            m_registrations.push_back(std::move(registration));
        }
        readList();
    }

    static fleet::QueueId queueOf(int priority)
    {
        return fleet::QueueId("queue-" + std::to_string(priority));
    }

    /// A step of tasks of a thousandth of a core and 1 MB for a second.
    static jobs::StepSpec smallTasks(std::uint16_t count)
    {
        jobs::StepSpec step;
        step.m_tasks = count;
        step.m_perTask = {1, 1, 0};
        step.m_estimate = std::chrono::seconds(1);
        return step;
    }

    /// A schedule whose times lie a minute apart, all before the present.
    static jobs::Schedule passedTimes(std::uint32_t count)
    {
        return {count, fleet::TimePoint(std::chrono::minutes(1)), std::chrono::minutes(1)};
    }

    fleet::Now now() const
    {
        return m_now;
    }

    void advance(fleet::Duration length)
    {
        m_now.m_boot += length;
        m_now.m_wall += length;
    }

    Environment environment()
    {
        return {m_journal, m_catalog, m_zonesOut, m_waves};
    }

    /// Accepts a job. Returns its id.
    jobs::JobId accept(const std::vector<jobs::StepSpec> &steps, int priority, const jobs::Schedule &schedule = {})
    {
        journal::JobAccepted accepted;
        accepted.m_spec.m_id = {++m_lastJob};
        accepted.m_spec.m_queue = queueOf(priority);
        accepted.m_spec.m_account = fleet::AccountId("account");
        accepted.m_spec.m_steps = steps;
        accepted.m_spec.m_schedule = schedule;
        accepted.m_maxAttempts = 3;
        accepted.m_at = m_now.m_wall;
        journal::Changes changes;
        journal::apply(m_journal, accepted, changes);
        collect(onJobsChanged(m_state, environment(), {accepted.m_spec.m_id}, m_now));
        return accepted.m_spec.m_id;
    }

    void readList()
    {
        collect(onListRead(m_state, environment(), m_registrations, m_now));
    }

    void cancel(jobs::JobId job)
    {
        journal::Changes changes;
        journal::apply(m_journal, journal::JobCancelled {job, m_now.m_wall}, changes);
        collect(onJobsChanged(m_state, environment(), {job}, m_now));
    }

    /// Plans and sends orders, and stores what was recorded. Returns the output of the plan and of the orders that follow at once.
    Outbox runCycle()
    {
        m_state.m_planIsDue = true;
        m_state.m_nextPlanAt = {};
        Outbox planned = collect(runSchedulingCycle(m_state, environment(), m_now));
        if (planned.m_batch > 0) {
            collect(onStored(m_state, environment(), planned.m_batch, m_now));
            collect(runSchedulingCycle(m_state, environment(), m_now));
        }
        return planned;
    }

    Outbox endStart(const workers::StartOrder &order, workers::OrderOutcome outcome)
    {
        return collect(onStartEnded(m_state, environment(), order, {outcome, clockMs(), {}}, m_now));
    }

    /// The worker reports the end of the run.
    Outbox endRun(const workers::StartOrder &order, jobs::RunEnd end)
    {
        Context context {m_state, m_journal, m_catalog, m_zonesOut, m_waves, m_now};
        dispatch::endRun(context, order.m_run, end, {}, RunEndProof::ReportedByWorker);
        reconcileChanged(context);
        return collect(std::move(context.m_out));
    }

    std::vector<Candidate> listCandidates()
    {
        return findCandidates({m_state, m_journal, m_catalog, m_zonesOut, m_waves, m_now});
    }

    Outbox endStop(const workers::StopOrder &order, workers::OrderOutcome outcome)
    {
        return collect(onStopEnded(m_state, environment(), order, {outcome, clockMs(), {}}, m_now));
    }

    /// The worker answers a poll and lists its open runs as running.
    Outbox answerPoll(const workers::WorkerIncarnation &worker)
    {
        workers::PollOrder order;
        order.m_target = worker;
        workers::PollResult result;
        result.m_outcome = workers::PollOutcome::Answered;
        result.m_startedAtMs = worker.m_startedAtMs;
        result.m_clockMs = clockMs();
        for (const jobs::RunId &run : m_state.m_workers.at(worker.m_worker).m_runs) {
            result.m_running.push_back({run, {}, 0, -1});
        }
        return collect(onPollEnded(m_state, environment(), order, m_now.m_boot, result, m_now));
    }

    Outbox tick()
    {
        return collect(onTick(m_state, environment(), {}, m_now));
    }

    /// Takes the duty over from a holder that is gone, with nothing but the journal.
    Outbox takeOver()
    {
        State state;
        state.m_settings = m_state.m_settings;
        state.m_token.m_value = m_state.m_token.m_value + 1;
        m_state = std::move(state);
        m_starts.clear();
        m_stops.clear();
        return collect(dispatch::takeOver(m_state, environment(), m_now.m_boot, m_now));
    }

    State m_state;
    journal::JournalState m_journal;
    catalog::Catalog m_catalog;
    std::vector<workers::Registration> m_registrations;
    /// Orders that were sent and have not been answered here.
    std::vector<workers::StartOrder> m_starts;
    std::vector<workers::StopOrder> m_stops;

private:
    static constexpr int queueCount = 3;

    std::int64_t clockMs() const
    {
        return m_now.m_boot.time_since_epoch().count();
    }

    Outbox collect(Outbox outbox)
    {
        m_starts.insert(m_starts.end(), outbox.m_starts.begin(), outbox.m_starts.end());
        m_stops.insert(m_stops.end(), outbox.m_stops.begin(), outbox.m_stops.end());
        return outbox;
    }

    std::set<fleet::ZoneId> m_zonesOut;
    std::map<std::string, catalog::UpkeepWave> m_waves;
    fleet::Now m_now {fleet::BootTime(std::chrono::seconds(100)), fleet::TimePoint(std::chrono::hours(24 * 365 * 56))};
    std::uint64_t m_lastJob = 0;
};

}

#endif
