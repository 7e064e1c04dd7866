#include "components/simulation/random_run_test.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <ostream>

#include <criterion/criterion.h>

namespace simulation::test
{

using namespace std::chrono_literals;

namespace
{

/// Plays one run.
class RandomRun
{
public:
    explicit RandomRun(unsigned seed)
        : m_fixture(settingsFor(seed))
    {
    }

    void make(const Move &move);
    void heal();
    std::string verdict();

private:
    static WorldSettings settingsFor(unsigned seed)
    {
        WorldSettings settings;
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

    void submit(const Move &move);
    void fault(const Move &move);
    std::string verdictOn(jobs::JobId id, const RandomJob &job);

    WorldFixture m_fixture;
    std::map<jobs::JobId, RandomJob> m_jobs;
    std::uint64_t m_nextJob = 1;
};

void RandomRun::submit(const Move &move)
{
    jobs::JobSpec spec;
    spec.m_id.m_value = m_nextJob++;
    spec.m_queue = fleet::QueueId("q" + std::to_string(move.m_second % 3));
    const auto count = static_cast<std::uint16_t>(1 + move.m_first % 6);
    jobs::StepSpec step = move.m_first % 3 == 0 ? gangOf(count, 1 + move.m_second % 8) : tasksOf(count, 1 + move.m_second % 2);
    step.m_writesCheckpoints = move.m_first % 2 == 0;
    step.m_prefersOneRack = step.m_isGang && move.m_first % 2 == 1 && count <= 2;
    spec.m_steps = {step};
    if (move.m_second % 4 == 0) {
        spec.m_steps.push_back(tasksOf(2));
        spec.m_steps.back().m_dependsOn = {0};
    }
    const int call = world().submit(instance(move.m_first), spec, {fleet::Duration(200 + move.m_second % 1500)});
    m_jobs[spec.m_id] = {call, false, spec.m_steps};
}

void RandomRun::fault(const Move &move)
{
    Faults &faults = world().m_faults;
    const int target = move.m_second % 2 == 0 && world().holder() >= 0 ? world().holder() : instance(move.m_first);
    switch (move.m_kind) {
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
        faults.m_refusedByStore = {target, instance(move.m_first + 1)};
        break;
    case 10:
        faults.m_store = move.m_first % 2 == 0 ? StoreMode::Silent : StoreMode::Busy;
        break;
    case 11:
        faults.m_lostAppends = 0.4;
        faults.m_lostAppendsAreLate = move.m_first % 2 == 0;
        break;
    case 12:
        faults.m_lateOrders = 0.2;
        break;
    case 13:
        faults.m_cutWorkers.insert(worker(move.m_first));
        faults.m_cutWorkers.insert(worker(move.m_second));
        break;
    case 14:
        world().crashWorker(worker(move.m_first), true);
        break;
    case 15:
        world().freeze(target, fleet::Duration(500 + move.m_first % 5000));
        break;
    case 16:
        faults = Faults();
        break;
    default:
        world().requestStop(target);
        break;
    }
}

void RandomRun::make(const Move &move)
{
    if (move.m_kind < 5) {
        submit(move);
    } else if (move.m_kind == 5 && !m_jobs.empty()) {
        auto job = m_jobs.begin();
        std::advance(job, move.m_first % m_jobs.size());
        world().cancel(instance(move.m_second), job->first);
        job->second.m_isCancelled = true;
    } else {
        fault(move);
    }
    world().run(fleet::Duration(move.m_pause));
}

void RandomRun::heal()
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

std::string RandomRun::verdictOn(jobs::JobId id, const RandomJob &job)
{
    const auto &reply = world().outcome(job.m_call).m_reply;
    const bool wasRefused = reply && reply->m_kind == callers::ReplyKind::Refused;
    const int runs = m_fixture.runsOf(id);
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

std::string RandomRun::verdict()
{
    if (!world().m_fleet.m_violations.empty()) {
        return world().m_fleet.m_violations.front();
    }
    for (const auto &[id, job] : m_jobs) {
        const std::string broken = verdictOn(id, job);
        if (!broken.empty()) {
            return broken;
        }
    }
    return "";
}

}

std::ostream &operator<<(std::ostream &out, const Move &move)
{
    return out << '{' << move.m_kind << ", " << move.m_first << ", " << move.m_second << ", " << move.m_pause << '}';
}

std::string playMoves(unsigned seed, const std::vector<Move> &moves)
{
    RandomRun run(seed);
    for (const Move &move : moves) {
        run.make(move);
    }
    run.heal();
    return run.verdict();
}

}

using simulation::test::Move;

Test(randomRun, faultsAtAnyTime_everyAcceptedJobIsDoneOnce)
{
    const bool holds = rc::check("no job is lost, runs twice or after a refusal", [] {
        const auto seed = *rc::gen::arbitrary<unsigned>();
        const auto move = rc::gen::build<Move>(rc::gen::set(&Move::m_kind, rc::gen::inRange(0, simulation::test::moveKinds)),
                                               rc::gen::set(&Move::m_first, rc::gen::inRange(0U, 100'000U)),
                                               rc::gen::set(&Move::m_second, rc::gen::inRange(0U, 100'000U)),
                                               rc::gen::set(&Move::m_pause, rc::gen::inRange(0U, 1500U)));
        const auto moves = *rc::gen::container<std::vector<Move>>(30, move);
        const std::string broken = simulation::test::playMoves(seed, moves);
        if (!broken.empty()) {
            RC_FAIL(broken);
        }
    });
    cr_assert(holds);
}
