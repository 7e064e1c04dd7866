#include "components/scheduler/fake_zone.hpp"
#include "components/scheduler/status.hpp"

#include <algorithm>
#include <set>

namespace scheduler::test
{

namespace
{

constexpr fleet::Resources capacity {8000, 8000, 4};
constexpr fleet::Duration tickInterval {1'000};
constexpr fleet::Duration resolution {50};

}

FakeZone::FakeZone(unsigned seed)
    : m_random(seed)
{
}

bool FakeZone::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

fleet::Duration FakeZone::delay()
{
    return fleet::Duration(std::uniform_int_distribution<int>(1, static_cast<int>(m_maxDelay.count()))(m_random));
}

void FakeZone::fail(const std::string &rule)
{
    if (m_violation.empty()) {
        m_violation = rule + " at " + std::to_string((m_now - fleet::TimePoint(1'000'000s)).count()) + " ms";
    }
}

void FakeZone::run(fleet::Duration length)
{
    for (const fleet::TimePoint end = m_now + length; m_now < end;) {
        advance(tickInterval);
        checkActions({});
        std::vector<Action> actions = step(m_state, Tick {}, m_now);
        checkActions(actions);
        send(std::move(actions), true);
    }
}

void FakeZone::apply(const Event &event)
{
    std::vector<Action> actions = step(m_state, event, m_now);
    checkActions(actions);
    send(std::move(actions), false);
}

void FakeZone::advance(fleet::Duration length)
{
    for (const fleet::TimePoint end = m_now + length; m_now < end;) {
        m_now += resolution;
        for (FakeWorker &worker : m_workers) {
            worker.advance(m_runTimes, m_isBad, m_now);
        }
        checkWorkers();
        while (!m_commandsInFlight.empty() && m_commandsInFlight.begin()->first <= m_now) {
            const Delivery delivery = m_commandsInFlight.begin()->second;
            m_commandsInFlight.erase(m_commandsInFlight.begin());
            deliver(delivery);
        }
        while (!m_reportsInFlight.empty() && m_reportsInFlight.begin()->first <= m_now) {
            const WorkerReported report = m_reportsInFlight.begin()->second;
            m_reportsInFlight.erase(m_reportsInFlight.begin());
            for (const TaskStatus &status : report.m_tasks) {
                TaskPhase &phase = m_reported.try_emplace(status.m_task, status.m_phase).first->second;
                phase = phase == TaskPhase::Succeeded ? phase : status.m_phase;
            }
            apply(report);
        }
    }
}

void FakeZone::send(std::vector<Action> actions, bool pollsAll)
{
    std::map<fleet::WorkerId, std::vector<WorkerCommand>> messages;
    for (const Action &action : actions) {
        record(action);
        if (const auto *command = std::get_if<WorkerCommand>(&action)) {
            messages[command->m_worker].push_back(*command);
        }
    }
    for (int index = 0; index < static_cast<int>(m_workers.size()); ++index) {
        const auto message = messages.find(m_workers[index].m_info.m_id);
        const bool isSent = message != messages.end() || pollsAll;
        if (isSent && !chance(m_faultRate)) {
            Delivery delivery {index, message == messages.end() ? std::vector<WorkerCommand> {} : message->second, m_now};
            m_commandsInFlight.emplace(m_now + delay(), std::move(delivery));
        }
    }
}

void FakeZone::deliver(const Delivery &delivery)
{
    FakeWorker &worker = m_workers[delivery.m_worker];
    if (m_now < worker.m_unreachableUntil) {
        return;
    }
    for (const WorkerCommand &command : delivery.m_commands) {
        worker.execute(command, m_now);
    }
    checkWorkers();
    const WorkerReported report {worker.m_info.m_id, worker.report(m_now), delivery.m_sentAt};
    if (chance(m_faultRate)) {
        return;
    }
    m_reportsInFlight.emplace(m_now + delay(), report);
    if (chance(m_faultRate)) {
        m_reportsInFlight.emplace(m_now + delay(), report);
    }
}

void FakeZone::record(const Action &action)
{
    if (const auto *started = std::get_if<AttemptStarted>(&action)) {
        m_recordedAttempts[started->m_job] = started->m_attempt;
    } else if (const auto *ended = std::get_if<JobEnded>(&action)) {
        if (!m_outcomes.emplace(ended->m_job, ended->m_outcome).second) {
            fail("a job ends more than once");
        }
        for (const FakeWorker &worker : m_workers) {
            for (const auto &[ref, task] : worker.m_tasks) {
                if (ref.m_job == ended->m_job && task.m_phase == TaskPhase::Running) {
                    fail("a task runs after its job ended");
                }
            }
        }
    }
}

void FakeZone::addWorker(int rack)
{
    FakeWorker worker;
    worker.m_info = {fleet::WorkerId("w" + std::to_string(m_nextWorker++)), fleet::ZoneId("z"), fleet::RackId(std::to_string(rack)), capacity};
    m_workers.push_back(worker);
    apply(WorkerListed {worker.m_info, false});
}

void FakeZone::removeWorker(int index)
{
    const fleet::WorkerId id = m_workers[index].m_info.m_id;
    m_workers[index].m_tasks.clear();
    m_workers[index].m_unreachableUntil = fleet::TimePoint::max();
    apply(WorkerRemoved {id});
}

void FakeZone::submit(const fleet::JobSpec &spec, fleet::Duration runTime, bool isBad)
{
    m_specs[spec.m_id] = spec;
    m_runTimes[spec.m_id] = runTime;
    m_isBad[spec.m_id] = isBad;
    apply(JobArrived {spec});
}

void FakeZone::cancel(int index)
{
    if (!m_specs.empty()) {
        apply(JobCancelRequested {std::next(m_specs.begin(), index % static_cast<int>(m_specs.size()))->first});
    }
}

void FakeZone::repeatArrival(int index)
{
    if (m_specs.empty()) {
        return;
    }
    const fleet::JobSpec &spec = std::next(m_specs.begin(), index % static_cast<int>(m_specs.size()))->second;
    if (m_state.m_jobs.contains(spec.m_id) || m_state.m_ended.contains(spec.m_id)) {
        apply(JobArrived {spec});
    }
}

void FakeZone::allowStarts(bool allowed)
{
    m_startsAllowed = allowed;
    apply(StartsAllowed {allowed});
}

void FakeZone::changeHolder()
{
    State fresh;
    fresh.m_settings = m_state.m_settings;
    m_state = fresh;
    m_startsAllowed = false;
    m_commandsInFlight.clear();
    m_reportsInFlight.clear();
    apply(PolicyChanged {m_accounts});
    for (const FakeWorker &worker : m_workers) {
        if (worker.m_unreachableUntil != fleet::TimePoint::max()) {
            apply(WorkerListed {worker.m_info, false});
        }
    }
    for (const auto &[id, spec] : m_specs) {
        if (!m_outcomes.contains(id)) {
            apply(JobArrived {spec, m_recordedAttempts[id]});
        }
    }
    run(2 * m_state.m_settings.m_leaseLength + 5s);
    allowStarts(true);
}

void FakeZone::pause(fleet::Duration length)
{
    for (const fleet::TimePoint end = m_now + length; m_now < end; m_now += resolution) {
        for (FakeWorker &worker : m_workers) {
            worker.advance(m_runTimes, m_isBad, m_now);
        }
        checkWorkers();
    }
}

bool FakeZone::isRunning(const fleet::JobId &job) const
{
    std::set<int> tasks;
    for (const FakeWorker &worker : m_workers) {
        for (const auto &[ref, task] : worker.m_tasks) {
            if (ref.m_job == job && task.m_phase == TaskPhase::Running) {
                tasks.insert(ref.m_task);
            }
        }
    }
    return static_cast<int>(tasks.size()) == m_specs.at(job).m_shape.m_tasks;
}

void FakeZone::checkActions(const std::vector<Action> &actions)
{
    for (const Action &action : actions) {
        const auto *command = std::get_if<WorkerCommand>(&action);
        if (command != nullptr && command->m_kind == CommandKind::Start) {
            checkStart(command->m_task);
        }
    }
    checkRenewals(actions);
    checkAllocations();
    checkGuarantees();
}

void FakeZone::checkStart(const TaskRef &task)
{
    if (!m_startsAllowed) {
        fail("a task is started while starts are not allowed");
    }
    for (int other = 0; other < m_specs.at(task.m_job).m_shape.m_tasks; ++other) {
        if (!m_reported.contains({task.m_job, task.m_attempt, other})) {
            fail("a task is started before the whole gang is reserved");
        }
    }
}

void FakeZone::checkRenewals(const std::vector<Action> &actions)
{
    std::map<std::pair<fleet::JobId, int>, std::set<int>> renewed;
    for (const Action &action : actions) {
        const auto *command = std::get_if<WorkerCommand>(&action);
        if (command != nullptr && command->m_kind == CommandKind::Renew) {
            renewed[{command->m_task.m_job, command->m_task.m_attempt}].insert(command->m_task.m_task);
        }
    }
    for (const auto &[gang, tasks] : renewed) {
        for (int task = 0; task < m_specs.at(gang.first).m_shape.m_tasks; ++task) {
            const auto reported = m_reported.find({gang.first, gang.second, task});
            const bool isDone = reported != m_reported.end() && reported->second == TaskPhase::Succeeded;
            if (!tasks.contains(task) && !isDone) {
                fail("a renewal leaves out a task of the gang");
            }
        }
    }
}

void FakeZone::checkWorkers()
{
    std::map<fleet::JobId, std::map<int, std::pair<int, int>>> gangs;
    for (const FakeWorker &worker : m_workers) {
        if (!worker.used().fitsIn(worker.m_info.m_capacity)) {
            fail("the capacity of a worker is exceeded");
        }
        for (const auto &[ref, task] : worker.m_tasks) {
            auto &[running, done] = gangs[ref.m_job][ref.m_attempt];
            running += task.m_phase == TaskPhase::Running ? 1 : 0;
            done += task.m_phase == TaskPhase::Succeeded ? 1 : 0;
        }
    }
    std::map<std::pair<fleet::JobId, int>, fleet::TimePoint> incompleteSince;
    for (const auto &[job, attempts] : gangs) {
        int live = 0;
        for (const auto &[attempt, counts] : attempts) {
            live += counts.first > 0 ? 1 : 0;
            const bool isIncomplete = counts.first > 0 && counts.first + counts.second < m_specs.at(job).m_shape.m_tasks;
            if (isIncomplete) {
                const auto before = m_incompleteSince.find({job, attempt});
                incompleteSince[{job, attempt}] = before == m_incompleteSince.end() ? m_now : before->second;
            }
        }
        if (live > 1) {
            fail("two attempts of one job run at the same time");
        }
    }
    m_incompleteSince = std::move(incompleteSince);
    for (const auto &[gang, since] : m_incompleteSince) {
        if (m_now - since > m_state.m_settings.m_leaseLength + m_state.m_settings.m_leaseExpiryMargin) {
            fail("an incomplete gang runs longer than a lease");
        }
    }
}

void FakeZone::checkAllocations()
{
    std::vector<fleet::Resources> free;
    for (const placement::Node &node : m_state.m_pool.m_nodes) {
        free.push_back(node.m_capacity);
    }
    for (const auto &[id, job] : m_state.m_jobs) {
        for (std::size_t task = 0; job.m_attempt && task < job.m_attempt->m_tasks.size(); ++task) {
            const TaskRun &run = job.m_attempt->m_tasks[task];
            if (!run.m_over && run.m_worker != unknownWorker) {
                free[run.m_worker] = free[run.m_worker] - job.m_spec.m_shape.m_perTask;
            }
        }
    }
    for (std::size_t worker = 0; worker < free.size(); ++worker) {
        if (free[worker] != m_state.m_pool.m_nodes[worker].m_free) {
            fail("the allocations differ from the tasks of the attempts");
        }
    }
    for (const Worker &worker : m_state.m_workers) {
        if (!worker.m_leased.fitsIn(worker.m_info.m_capacity)) {
            fail("the leases granted exceed the capacity of their worker");
        }
    }
    for (const AccountStatus &status : accountStatuses(m_state, m_now)) {
        const bool isBounded = m_state.m_settings.m_policy == Policy::Guaranteed && m_state.m_accounts.contains(status.m_account);
        if (isBounded && !status.m_borrowed.fitsIn(m_state.m_accounts.at(status.m_account).m_quota)) {
            fail("an account borrows more than its quota");
        }
    }
}

void FakeZone::checkGuarantees()
{
    std::vector<fleet::Resources> needed(m_state.m_workers.size());
    std::size_t guaranteeCount = 0;
    for (const auto &[id, account] : m_state.m_accounts) {
        guaranteeCount += account.m_guarantees.size();
    }
    if (guaranteeCount != m_state.m_guarantees.m_slots.size()) {
        fail("the number of slots differs from the number of guaranteed shapes");
    }
    for (const auto &[id, slot] : m_state.m_guarantees.m_slots) {
        fleet::Resources total;
        std::set<int> racks;
        for (const guarantees::SlotNode &part : slot.m_nodes) {
            needed[part.m_node] = needed[part.m_node] + part.m_free;
            total = total + part.m_total;
            racks.insert(m_state.m_pool.m_nodes[part.m_node].m_rack);
        }
        const bool isAdjacent = slot.m_shape.m_adjacency == fleet::Adjacency::SameWorker ? slot.m_nodes.size() <= 1 : racks.size() <= 1;
        if (slot.m_shape.m_adjacency != fleet::Adjacency::SameZone && !isAdjacent) {
            fail("a slot does not have the adjacency of its shape");
        }
        if (slot.isPlaced() && total != slot.m_shape.total()) {
            fail("a placed slot does not hold its whole shape");
        }
    }
    for (const auto &[id, job] : m_state.m_jobs) {
        for (std::size_t task = 0; job.m_attempt && job.m_attempt->m_slot != noSlot && task < job.m_attempt->m_tasks.size(); ++task) {
            const TaskRun &run = job.m_attempt->m_tasks[task];
            needed[run.m_worker] = run.m_over ? needed[run.m_worker] : needed[run.m_worker] + job.m_spec.m_shape.m_perTask;
        }
    }
    for (std::size_t worker = 0; worker < needed.size(); ++worker) {
        if (!needed[worker].fitsIn(m_state.m_workers[worker].m_info.m_capacity)) {
            fail("covered gangs and unused guaranteed capacity exceed a worker");
        }
    }
}

}
