#include "components/simulation/random_run_test.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <ostream>

#include <criterion/criterion.h>

namespace simulation::test
{

using namespace std::chrono_literals;

namespace
{

/// Performs the actions of one run and checks its result.
class RandomRun
{
public:
    RandomRun(unsigned seed, const WorldSettings &settings)
        : m_fixture(settingsFor(seed, settings))
    {
    }

    void perform(const Action &action);
    void recover();
    std::string findViolation();

private:
    static WorldSettings settingsFor(unsigned seed, WorldSettings settings)
    {
        settings.m_seed = seed;
        settings.m_journalRetention = 20s;
        return settings;
    }

    World &world()
    {
        return m_fixture.m_world;
    }

    int instance(unsigned number) const
    {
        return static_cast<int>(number % static_cast<unsigned>(m_fixture.m_world.instanceCount()));
    }

    fleet::WorkerId worker(unsigned number) const
    {
        const std::vector<fleet::WorkerId> workers = m_fixture.m_world.workers();
        return workers[number % workers.size()];
    }

    void submit(const Action &action);
    void injectFault(const Action &action);
    void disturbWorkers(const Action &action);
    fleet::WorkerId busyWorker(unsigned number) const;
    std::string findJobViolation(jobs::JobId id, const RandomJob &job);

    WorldFixture m_fixture;
    std::map<jobs::JobId, RandomJob> m_jobs;
    std::uint64_t m_nextJob = 1;
};

void RandomRun::submit(const Action &action)
{
    jobs::JobSpec spec;
    spec.m_id.m_value = m_nextJob++;
    spec.m_queue = fleet::QueueId("q" + std::to_string(action.m_second % 3));
    const auto count = static_cast<std::uint16_t>(1 + action.m_first % 6);
    jobs::StepSpec step = action.m_first % 3 == 0 ? makeGang(count, 1 + action.m_second % 8) : makeTasks(count, 1 + action.m_second % 2);
    step.m_writesCheckpoints = action.m_first % 2 == 0;
    step.m_prefersOneRack = step.m_isGang && action.m_first % 2 == 1 && count <= 2;
    spec.m_steps = {step};
    if (action.m_second % 4 == 0) {
        spec.m_steps.push_back(makeTasks(2));
        spec.m_steps.back().m_dependsOn = {0};
    }
    const int call = world().submit(instance(action.m_first), spec, {fleet::Duration(200 + action.m_second % 1500)});
    m_jobs[spec.m_id] = {call, false, spec.m_steps};
}

void RandomRun::injectFault(const Action &action)
{
    Faults &faults = world().m_faults;
    const int target = action.m_second % 2 == 0 && world().holder() >= 0 ? world().holder() : instance(action.m_first);
    switch (action.m_kind) {
    case 6:
        world().kill(target);
        break;
    case 7:
        for (int i = 0; i < world().instanceCount(); ++i) {
            if (!world().isRunning(i)) {
                world().restart(i);
            }
        }
        break;
    case 8:
        faults.m_cutFromStore = {target};
        break;
    case 9:
        faults.m_refusedByStore = {target, instance(action.m_first + 1)};
        break;
    case 10:
        faults.m_store = action.m_first % 2 == 0 ? StoreMode::Unresponsive : StoreMode::Busy;
        break;
    case 11:
        faults.m_unansweredAppends = 0.4;
        faults.m_unansweredAppendsAreDelayed = action.m_first % 2 == 0;
        break;
    case 12:
        faults.m_delayedOrders = 0.2;
        break;
    case 13:
        faults.m_unreachableWorkers.insert(worker(action.m_first));
        faults.m_unreachableWorkers.insert(worker(action.m_second));
        break;
    case 14:
        world().crashWorker(worker(action.m_first), true);
        break;
    case 15:
        world().freeze(target, fleet::Duration(500 + action.m_first % 5000));
        break;
    case 16:
        faults = Faults();
        break;
    default:
        world().requestStop(target);
        break;
    }
}

/// Returns the worker of one of the latest runs, if there is one.
fleet::WorkerId RandomRun::busyWorker(unsigned number) const
{
    const std::vector<RunRecord> &history = m_fixture.m_world.m_fleet.m_history;
    return history.empty() ? worker(number) : history[history.size() - 1 - number % std::min<std::size_t>(history.size(), 3)].m_incarnation.m_worker;
}

void RandomRun::disturbWorkers(const Action &action)
{
    Faults &faults = world().m_faults;
    const fleet::WorkerId target = busyWorker(action.m_first);
    switch (action.m_kind) {
    case 18:
        faults.m_delayedOrders = 0.3;
        faults.m_delayedPolls = 0.3;
        break;
    case 19:
        faults.m_unansweredOrders = 0.2;
        faults.m_repeatedOrders = 0.5;
        break;
    case 20:
        faults.m_delayedOrders = 0;
        faults.m_delayedPolls = 0;
        faults.m_unansweredOrders = 0;
        break;
    case 21:
        world().crashWorker(target, true);
        break;
    case 22:
        world().crashRepeatedly(
            target, 2 + static_cast<int>(action.m_first % 4), fleet::Duration(50 + action.m_second % 1000), fleet::Duration(100 + action.m_first % 3000));
        break;
    case 23:
        faults.m_unreachableWorkers.insert(target);
        faults.m_workersCutFromStore.insert(target);
        break;
    case 24:
        // Restarts behind the cut.
        faults.m_unreachableWorkers.insert(target);
        faults.m_workersCutFromStore.insert(target);
        world().crashWorker(target, true);
        break;
    case 25:
        faults.m_unreachableFrom.insert({std::max(0, world().holder()), target});
        break;
    case 26:
        faults.m_unreachableWorkers.clear();
        faults.m_unreachableFrom.clear();
        faults.m_workersCutFromStore.clear();
        faults.m_store = StoreMode::Available;
        break;
    case 27:
        faults.m_store = StoreMode::Unresponsive;
        world().lapseEntry(target, fleet::Duration(action.m_first % 2000));
        world().lapseEntry(worker(action.m_second), fleet::Duration(action.m_second % 2000));
        break;
    case 28:
        world().replaceWorker(target);
        break;
    default:
        faults.m_store = action.m_first % 2 == 0 ? StoreMode::Available : StoreMode::Busy;
        break;
    }
}

void RandomRun::perform(const Action &action)
{
    if (action.m_kind < 5) {
        submit(action);
    } else if (action.m_kind == 5 && !m_jobs.empty()) {
        auto job = m_jobs.begin();
        std::advance(job, action.m_first % m_jobs.size());
        world().cancel(instance(action.m_second), job->first);
        job->second.m_isCancelled = true;
    } else if (action.m_kind < actionKinds) {
        injectFault(action);
    } else {
        disturbWorkers(action);
    }
    world().run(fleet::Duration(action.m_pause));
}

void RandomRun::recover()
{
    world().m_faults = Faults();
    world().run(7s);
    for (int i = 0; i < world().instanceCount(); ++i) {
        if (!world().isRunning(i)) {
            world().restart(i);
        }
    }
    world().run(40s);
}

std::string RandomRun::findJobViolation(jobs::JobId id, const RandomJob &job)
{
    const auto &reply = world().outcome(job.m_call).m_reply;
    const bool wasRefused = reply && (reply->m_kind == callers::ReplyKind::Refused || reply->m_kind == callers::ReplyKind::OverMaximum);
    const int runs = m_fixture.runCount(id);
    if (wasRefused && runs > 0) {
        return "job " + toString(id) + " ran although it was refused";
    }
    const std::optional<jobs::JobState> state = world().stateOf(0, id);
    if (world().wasAccepted(job.m_call) && !state) {
        return "job " + toString(id) + " was accepted and is not known";
    }
    if (job.m_isCancelled) {
        return m_fixture.isRunning(id) ? "job " + toString(id) + " runs although it was cancelled" : "";
    }
    if (state && *state != jobs::JobState::Completed) {
        return "job " + toString(id) + " is " + jobs::nameOf(*state);
    }
    return "";
}

std::string RandomRun::findViolation()
{
    if (!world().m_fleet.m_violations.empty()) {
        return world().m_fleet.m_violations.front();
    }
    for (const auto &[id, job] : m_jobs) {
        const std::string violation = findJobViolation(id, job);
        if (!violation.empty()) {
            return violation;
        }
    }
    return "";
}

}

std::ostream &operator<<(std::ostream &out, const Action &action)
{
    return out << '{' << action.m_kind << ", " << action.m_first << ", " << action.m_second << ", " << action.m_pause << '}';
}

std::vector<Action> anyActions()
{
    const auto action = rc::gen::build<Action>(rc::gen::set(&Action::m_kind, rc::gen::inRange(0, actionKinds)),
                                               rc::gen::set(&Action::m_first, rc::gen::inRange(0U, 100'000U)),
                                               rc::gen::set(&Action::m_second, rc::gen::inRange(0U, 100'000U)),
                                               rc::gen::set(&Action::m_pause, rc::gen::inRange(0U, 1500U)));
    return *rc::gen::container<std::vector<Action>>(30, action);
}

std::vector<Action> workerTroubles()
{
    const auto kind = rc::gen::weightedOneOf<int>(
        {{4, rc::gen::inRange(0, 5)}, {1, rc::gen::inRange(5, actionKinds)}, {5, rc::gen::inRange(actionKinds, workerActionKinds)}});
    const auto action = rc::gen::build<Action>(rc::gen::set(&Action::m_kind, kind),
                                               rc::gen::set(&Action::m_first, rc::gen::inRange(0U, 100'000U)),
                                               rc::gen::set(&Action::m_second, rc::gen::inRange(0U, 100'000U)),
                                               rc::gen::set(&Action::m_pause, rc::gen::inRange(0U, 1500U)));
    return *rc::gen::container<std::vector<Action>>(40, action);
}

std::string performActions(unsigned seed, const std::vector<Action> &actions, const WorldSettings &settings)
{
    RandomRun run(seed, settings);
    for (const Action &action : actions) {
        run.perform(action);
    }
    run.recover();
    return run.findViolation();
}

}

using simulation::test::Action;

Test(randomRun, faultsAtAnyTime_everyAcceptedJobIsDoneOnce)
{
    const bool holds = rc::check("no job is lost, runs twice or after a refusal", [] {
        const auto seed = *rc::gen::arbitrary<unsigned>();
        const auto actions = simulation::test::anyActions();
        const std::string violation = simulation::test::performActions(seed, actions);
        if (!violation.empty()) {
            RC_FAIL(violation);
        }
    });
    cr_assert(holds);
}

/// Late orders and polls beside workers that restart, are cut off, or lose their entries, by turns and at once.
Test(randomRun, workerTroublesAtAnyTime_everyAcceptedJobIsDoneOnce)
{
    const bool holds = rc::check("no job is lost, runs twice or after a refusal", [] {
        const auto seed = *rc::gen::arbitrary<unsigned>();
        const auto actions = simulation::test::workerTroubles();
        const std::string violation = simulation::test::performActions(seed, actions);
        if (!violation.empty()) {
            RC_FAIL(violation);
        }
    });
    cr_assert(holds);
}

/// A poll acknowledges ends to the process that receives it, and not to the next one of the worker, which numbers its ends anew.
Test(randomRun, workerRestartsWhileAPollWithAnAcknowledgementWaits_taskRunsOnce)
{
    std::vector<Action> actions(30);
    actions[7].m_pause = 96;
    actions[11].m_pause = 126;
    actions[12].m_kind = 14;
    const std::string violation = simulation::test::performActions(76487312, actions);
    cr_assert(violation.empty(), "%s", violation.c_str());
}
