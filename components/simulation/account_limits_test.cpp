#include "components/simulation/random_run_test.hpp"
#include "components/simulation/world_fixture_test.hpp"

#include <rapidcheck.h>

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

/// Twelve workers of eight accelerators, of which the account of the callers may have eight in use. The model checks each start.
struct LimitFixture : WorldFixture
{
    LimitFixture()
        : WorldFixture(settings())
    {
    }

    static WorldSettings settings()
    {
        WorldSettings settings;
        settings.m_accountMaximum = {0, 0, 8};
        return settings;
    }

    void publishMaximum(const fleet::Resources &maximum)
    {
        m_world.publishAccount([&](catalog::Account &account) {
            account.m_maximum = maximum;
        });
    }

    std::int64_t peak() const
    {
        return m_world.m_fleet.m_peakUse.at(fleet::AccountId("account")).m_accelerators;
    }

    callers::ReplyKind submitAndWait(const jobs::StepSpec &step, jobs::JobId &job)
    {
        const int call = submitThrough(nonHolder(), step, {200ms}, 1, job);
        m_world.run(500ms);
        return m_world.outcome(call).m_reply->m_kind;
    }
};

}

/// A successor that did not count the runs of a killed holder would start the maximum once more.
Test(accountLimits, holderKilledAroundAStart_successorCountsTheRuns)
{
    for (int after = 0; after < 12; ++after) {
        LimitFixture fixture;
        jobs::JobId job;
        fixture.submitThrough(fixture.nonHolder(), makeTasks(24), {3s}, 1, job);
        fixture.m_world.run(fleet::Duration(after));
        fixture.m_world.kill(fixture.m_world.holder());
        cr_assert(fixture.completes(job, 60s), "killed after %d ms", after);
        cr_assert_eq(fixture.peak(), 8);
        fixture.expectNoViolation();
    }
}

/// A holder that was replaced while it was suspended must not start tasks from its old count.
Test(accountLimits, twoHolders_startNoMoreThanTheMaximumTogether)
{
    LimitFixture fixture;
    const int former = fixture.m_world.holder();
    const jobs::JobId job = fixture.submit(makeTasks(24), {2s});
    fixture.m_world.freeze(former, 12s);
    cr_assert(fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.holder() >= 0 && fixture.m_world.holder() != former;
        },
        12s));
    cr_assert(fixture.completes(job, 60s));
    cr_assert_eq(fixture.peak(), 8);
    fixture.expectNoViolation();
}

/// Lowering a maximum must not lose work, and runs above it keep further ones from starting.
Test(accountLimits, maximumLoweredBelowTheUse_nothingIsStoppedAndNothingStartsUntilItHasFallen)
{
    LimitFixture fixture;
    const jobs::JobId running = fixture.submit(makeTasks(8), {6s});
    fixture.m_world.run(500ms);
    fixture.publishMaximum({0, 0, 3});
    fixture.m_world.run(1s);
    const jobs::JobId waiting = fixture.submit(makeTasks(4), {1s});
    fixture.m_world.run(3s);
    cr_assert_eq(fixture.runCount(waiting), 0);
    cr_assert(fixture.completes(waiting, 20s));
    cr_assert_eq(fixture.endedRunCount(running, "done"), 8);
    fixture.expectNoViolation();
}

/// Runs on workers that do not answer may go on until their lease has expired.
Test(accountLimits, workersPartitioned_theirRunsCountUntilTheirLeaseHasExpired)
{
    LimitFixture fixture;
    const jobs::JobId cut = fixture.submit(makeTasks(8), {60s});
    fixture.m_world.run(500ms);
    for (const fleet::WorkerId &worker : fixture.m_world.workers()) {
        if (!fixture.m_world.m_fleet.m_workers.at(worker).m_running.empty()) {
            fixture.m_world.m_faults.m_unreachableWorkers.insert(worker);
        }
    }
    const jobs::JobId other = fixture.submit(makeTasks(2), {1s}, 0);
    fixture.m_world.run(3s);
    cr_assert(fixture.isRunning(cut));
    cr_assert_eq(fixture.runCount(other), 0);
    cr_assert(fixture.completes(other, 30s));
    fixture.expectNoViolation();
}

/// Launches whose records are not stored yet must count, or each plan meanwhile would start the maximum again.
Test(accountLimits, slowStore_launchesNotYetStoredCount)
{
    LimitFixture fixture;
    fixture.m_world.m_faults.m_storeDelay = 400ms;
    const jobs::JobId first = fixture.submit(makeTasks(12), {1s});
    const jobs::JobId second = fixture.submit(makeGang(6), {1s});
    cr_assert(fixture.completes(first, 60s) && fixture.completes(second, 60s));
    cr_assert_eq(fixture.peak(), 8);
    fixture.expectNoViolation();
}

/// An account at its maximum must not take capacity from others, and its steps say why they wait.
Test(accountLimits, accountAtItsMaximum_blocksNoOtherAndReportsTheReason)
{
    LimitFixture fixture;
    const jobs::JobId limited = fixture.submit(makeTasks(96), {10s}, 0);
    fixture.submit(makeGang(8), {10s}, 0);
    fixture.m_world.run(300ms);
    fixture.m_world.m_callerKey = "other-key";
    const jobs::JobId other = fixture.submit(makeTasks(88), {4s}, 2);
    fixture.m_world.run(4s);
    cr_assert_eq(fixture.runCount(limited), 8);
    cr_assert_eq(fixture.runCount(other), 88);
    cr_assert_eq(fixture.endedRunCount(other, "stopped"), 0);
    cr_assert(fixture.m_world.m_lastLogLines["dispatch/waiting"].find("account-maximum") != std::string::npos);
    fixture.expectNoViolation();
}

/// The guarantee of an account broke when its own batch work had used up its maximum: the urgent job waited for runs to end.
Test(accountLimits, guaranteedStepAtTheMaximum_startsWithinTheReclaimLimit)
{
    LimitFixture fixture;
    const jobs::JobId batch = fixture.submit(makeTasks(8), {30s});
    fixture.m_world.run(500ms);
    const jobs::JobId urgent = fixture.submit(makeGang(6), {1s}, 0);
    fixture.m_world.run(2700ms);
    cr_assert_eq(fixture.runCount(urgent), 6);
    cr_assert_eq(fixture.endedRunCount(batch, "stopped"), 6);
    cr_assert_eq(fixture.peak(), 8);
    fixture.expectNoViolation();
}

/// Small tasks of the account would take up each accelerator that becomes free below the maximum, and a gang would never start.
Test(accountLimits, gangAsWideAsTheMaximum_startsWholeAmongSmallTasks)
{
    LimitFixture fixture;
    for (int i = 0; i < 4; ++i) {
        fixture.submit(makeTasks(2), {fleet::Duration(1500 + 400 * i)});
    }
    const jobs::JobId gang = fixture.submit(makeGang(8), {1s});
    for (int i = 0; i < 20; ++i) {
        fixture.submit(makeTasks(2), {fleet::Duration(1500 + 100 * i)});
        fixture.m_world.run(200ms);
    }
    cr_assert(fixture.completes(gang, 8s));
    cr_assert_eq(fixture.runCount(gang), 8);
    fixture.expectNoViolation();
}

/// Work that can never run was accepted and waited for ever; a refusal must be final, and a repeated submission is no new one.
Test(accountLimits, workAboveTheMaximum_isRefusedAtOnceUnlessItWasAccepted)
{
    LimitFixture fixture;
    jobs::JobId gang;
    jobs::JobId task;
    jobs::JobId accepted;
    cr_assert(fixture.submitAndWait(makeGang(9), gang) == callers::ReplyKind::OverMaximum);
    cr_assert(fixture.submitAndWait(makeTasks(1, 9), task) == callers::ReplyKind::OverMaximum);
    cr_assert(fixture.submitAndWait(makeTasks(9), accepted) == callers::ReplyKind::Accepted);
    const jobs::JobId before = fixture.submit(makeGang(8), {10s});
    fixture.publishMaximum({0, 0, 4});
    fixture.m_world.run(3s);
    jobs::JobSpec again;
    again.m_id = before;
    again.m_queue = fleet::QueueId("q1");
    again.m_steps = {makeGang(8)};
    const int call = fixture.m_world.submit(fixture.nonHolder(), again, {10s});
    fixture.m_world.run(500ms);
    cr_assert(fixture.m_world.wasAccepted(call));
    jobs::JobId allowedBefore;
    jobs::JobId afterTheDoubt;
    cr_assert(fixture.submitAndWait(makeGang(8), allowedBefore) == callers::ReplyKind::Accepted, "its first attempt may be on its way");
    fixture.m_world.run(15s);
    cr_assert(fixture.submitAndWait(makeGang(8), afterTheDoubt) == callers::ReplyKind::OverMaximum);
    cr_assert_eq(fixture.runCount(gang) + fixture.runCount(task) + fixture.runCount(allowedBefore) + fixture.runCount(afterTheDoubt), 0);
}

/// Without weights two accounts that keep all workers busy get what the order of their objectives gives them.
Test(accountShares, accountsCompeteForAllWorkers_useFollowsTheWeights)
{
    WorldFixture fixture;
    fixture.m_world.publishAccount([](catalog::Account &account) {
        account.m_weight = 3;
    });
    fixture.m_world.run(3s);
    std::vector<jobs::JobId> heavy;
    std::vector<jobs::JobId> light;
    for (int i = 0; i < 60; ++i) {
        fixture.m_world.m_callerKey = "other-key";
        light.push_back(fixture.submit(makeTasks(8), {1s}));
        fixture.m_world.m_callerKey = "key";
        heavy.push_back(fixture.submit(makeTasks(8), {1s}));
    }
    int runsOfHeavy = 0;
    int runsOfLight = 0;
    fixture.m_world.run(6s);
    for (std::size_t i = 0; i < heavy.size(); ++i) {
        runsOfHeavy += fixture.runCount(heavy[i]);
        runsOfLight += fixture.runCount(light[i]);
    }
    cr_assert_geq(runsOfHeavy, 2 * runsOfLight, "%d and %d runs", runsOfHeavy, runsOfLight);
    cr_assert_leq(runsOfHeavy, 4 * runsOfLight, "%d and %d runs", runsOfHeavy, runsOfLight);
    cr_assert(fixture.completes(light.back(), 60s));
}

/// Any faults and calls. No start may exceed the maximum, and every accepted job is done.
Test(accountLimits, faultsAtAnyTime_noStartExceedsTheMaximum)
{
    const bool holds = rc::check("no start exceeds the maximum of its account", [] {
        const auto seed = *rc::gen::arbitrary<unsigned>();
        WorldSettings settings;
        // Below these amounts the jobs would take longer than the run lasts.
        const std::int64_t tasks = *rc::gen::inRange(5, 9);
        settings.m_accountMaximum = {*rc::gen::element<std::int64_t>(0, 2000) * tasks, *rc::gen::element<std::int64_t>(0, 4000) * tasks, 8 + tasks};
        const std::string violation = performActions(seed, anyActions(), settings);
        if (!violation.empty()) {
            RC_FAIL(violation);
        }
    });
    cr_assert(holds);
}
