#include "components/simulation/world_fixture_test.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

/// Longer than any bound for a change by the operators.
constexpr fleet::Duration cutTime {6000};
constexpr std::size_t recordsPerRead = 2;
constexpr int missedCatalogs = 8;

/// A world in which one instance misses changes by the operators and then reads them in parts.
struct MissedChangesFixture
{
    explicit MissedChangesFixture(const WorldSettings &settings = {})
        : m_fixture(settings)
        , m_job(m_fixture.submit(makeTasks(1), {300ms}, 0))
        , m_instance(m_fixture.nonHolder())
    {
        cr_assert(m_fixture.completes(m_job, 5s));
        m_fixture.m_world.run(2s);
        m_fixture.m_world.m_faults.m_recordsPerRead = recordsPerRead;
    }

    /// Publishes catalogs, the last one after a change of the account.
    void publishWithLast(const std::function<void(catalog::Account &)> &change)
    {
        for (int i = 1; i < missedCatalogs; ++i) {
            m_fixture.m_world.publishAccount([](catalog::Account &) {});
        }
        m_fixture.m_world.publishAccount(change);
    }

    /// Lets the store answer the instance again, until the next answer that holds some of the missed changes.
    void readNextPart()
    {
        World &world = m_fixture.m_world;
        world.m_faults.m_cutFromStore.clear();
        const int changes = world.m_logCounts["catalog/changed"];
        for (int i = 0; i < 2000 && world.m_logCounts["catalog/changed"] == changes; ++i) {
            world.run(1ms);
        }
        cr_assert_gt(world.m_logCounts["catalog/changed"], changes);
    }

    /// Asks the instance for the state of the completed job.
    callers::ReplyKind ask(const std::string &key)
    {
        m_fixture.m_world.m_callerKey = key;
        const int call = m_fixture.m_world.show(m_instance, m_job);
        m_fixture.m_world.m_callerKey = "key";
        cr_assert(m_fixture.m_world.outcome(call).m_reply.has_value());
        return m_fixture.m_world.outcome(call).m_reply->m_kind;
    }

    WorldFixture m_fixture;
    jobs::JobId m_job;
    int m_instance;
};

void revokeKey(catalog::Account &account)
{
    account.m_keys = {"another"};
}

}

/// A key that was revoked seconds ago was accepted between two reads of the missed catalogs.
Test(missedChanges, revokedKeyBetweenTwoReads_isNotAccepted)
{
    MissedChangesFixture fixture;
    fixture.m_fixture.m_world.m_faults.m_cutFromStore.insert(fixture.m_instance);
    fixture.publishWithLast(revokeKey);
    fixture.m_fixture.m_world.run(cutTime);
    cr_assert(fixture.ask("key") == callers::ReplyKind::Refused);
    fixture.readNextPart();
    cr_assert(fixture.ask("key") == callers::ReplyKind::Refused);
    fixture.m_fixture.m_world.run(1s);
    cr_assert(fixture.ask("key") == callers::ReplyKind::KeyRefused);
}

/// The same after the process had been stopped for the time.
Test(missedChanges, revokedKeyBetweenTwoReadsAfterAPause_isNotAccepted)
{
    MissedChangesFixture fixture;
    World &world = fixture.m_fixture.m_world;
    world.freeze(fixture.m_instance, cutTime);
    fixture.publishWithLast(revokeKey);
    world.run(cutTime - 1ms);
    callers::ReplyKind reply = callers::ReplyKind::Refused;
    // The answer to the read that was open when the process was stopped is the first part.
    for (int part = 0; part < missedCatalogs && reply != callers::ReplyKind::KeyRefused; ++part) {
        fixture.readNextPart();
        reply = fixture.ask("key");
        cr_assert(reply != callers::ReplyKind::State);
    }
    cr_assert(reply == callers::ReplyKind::KeyRefused);
}

/// A key that had been added seconds ago was denied between two reads of the missed catalogs.
Test(missedChanges, addedKeyBetweenTwoReads_isNotDenied)
{
    MissedChangesFixture fixture;
    fixture.m_fixture.m_world.m_faults.m_cutFromStore.insert(fixture.m_instance);
    fixture.publishWithLast([](catalog::Account &account) {
        account.m_keys.push_back("added");
    });
    fixture.m_fixture.m_world.run(cutTime);
    fixture.readNextPart();
    cr_assert(fixture.ask("added") == callers::ReplyKind::Refused);
    fixture.m_fixture.m_world.run(1s);
    cr_assert(fixture.ask("added") == callers::ReplyKind::State);
}

/// A queue that had been removed was served between two reads of the missed catalogs.
Test(missedChanges, removedQueueBetweenTwoReads_isNotServed)
{
    MissedChangesFixture fixture;
    World &world = fixture.m_fixture.m_world;
    world.m_faults.m_cutFromStore.insert(fixture.m_instance);
    fixture.publishWithLast([](catalog::Account &) {});
    world.publishCatalog([](catalog::Catalog &catalog) {
        catalog.m_queues.erase(catalog.m_queues.begin());
    });
    world.run(cutTime);
    fixture.readNextPart();
    cr_assert(fixture.ask("key") == callers::ReplyKind::Refused);
    world.run(1s);
    cr_assert(fixture.ask("key") == callers::ReplyKind::NoSuchQueue);
}

/// An instance that had missed changes was ready for new connections before it had read them.
Test(missedChanges, instanceBetweenTwoReads_isNotReady)
{
    MissedChangesFixture fixture;
    World &world = fixture.m_fixture.m_world;
    world.m_faults.m_cutFromStore.insert(fixture.m_instance);
    fixture.publishWithLast(revokeKey);
    world.run(cutTime);
    world.m_faults.m_storeDelay = 300ms;
    fixture.readNextPart();
    world.run(200ms);
    cr_assert(!world.isReady(fixture.m_instance));
    world.run(2s);
    cr_assert(world.isReady(fixture.m_instance));
}

/// Each of the missed catalogs was read and decoded on the way to the newest one.
Test(missedChanges, manyCatalogsMissed_catchingUpCostsOnePartAndTheNewestOnes)
{
    MissedChangesFixture fixture;
    World &world = fixture.m_fixture.m_world;
    world.m_faults.m_cutFromStore.insert(fixture.m_instance);
    for (int i = 0; i < 10; ++i) {
        fixture.publishWithLast(revokeKey);
    }
    world.run(cutTime);
    const std::size_t read = world.m_operatorChangesRead;
    fixture.readNextPart();
    world.run(1s);
    cr_assert(fixture.ask("key") == callers::ReplyKind::KeyRefused);
    cr_assert_leq(world.m_operatorChangesRead - read, recordsPerRead + 1);
}

/// An instance that never reaches the end of a busy log still serves its callers.
Test(missedChanges, logGrowsFasterThanEachRead_callsAreServed)
{
    MissedChangesFixture fixture;
    World &world = fixture.m_fixture.m_world;
    world.m_faults.m_storeDelay = 20ms;
    for (int i = 0; i < 500; ++i) {
        for (std::size_t record = 0; record <= recordsPerRead; ++record) {
            world.setZoneOut(fleet::ZoneId("unused"), record % 2 == 0);
        }
        world.run(20ms);
        cr_assert(fixture.ask("key") == callers::ReplyKind::State, "round %d", i);
        cr_assert(world.isReady(fixture.m_instance));
    }
}

/// A catalog that was skipped may have allowed an earlier attempt, which may still be on its way to the store.
Test(missedChanges, maximumWasHigherInASkippedCatalog_submissionOverItIsInDoubtAtFirst)
{
    WorldSettings settings;
    settings.m_accountMaximum = {0, 0, 1};
    MissedChangesFixture fixture(settings);
    World &world = fixture.m_fixture.m_world;
    const auto submitWide = [&] {
        jobs::JobId job;
        const int call = fixture.m_fixture.submitThrough(fixture.m_instance, makeTasks(1, 4), {300ms}, 1, job);
        world.run(200ms);
        return world.outcome(call).m_reply->m_kind;
    };
    cr_assert(submitWide() == callers::ReplyKind::OverMaximum);
    world.m_faults.m_cutFromStore.insert(fixture.m_instance);
    fixture.publishWithLast([](catalog::Account &account) {
        account.m_maximum = {};
    });
    world.publishAccount([](catalog::Account &account) {
        account.m_maximum = {0, 0, 1};
    });
    world.run(cutTime);
    fixture.readNextPart();
    world.run(500ms);
    cr_assert(submitWide() == callers::ReplyKind::Unknown);
    world.run(20s);
    cr_assert(submitWide() == callers::ReplyKind::OverMaximum);
}

/// A holder read a list that is written faster than its reads part by part, and started tasks on workers that had been draining for seconds.
Test(missedChanges, workersDrainBehindManyEntries_tasksStartElsewhereAfterOneMoreRead)
{
    WorldFixture fixture;
    World &world = fixture.m_world;
    world.m_faults.m_recordsPerRead = recordsPerRead;
    const std::vector<fleet::WorkerId> workers = world.workers();
    for (int i = 0; i < 100; ++i) {
        world.relist(workers.back());
    }
    for (std::size_t i = 0; i + 1 < workers.size(); ++i) {
        world.setDraining(workers[i], true);
    }
    const int reads = world.m_workerListReads;
    cr_assert(world.runUntil(
        [&] {
            return world.m_workerListReads >= reads + 3;
        },
        2s));
    const jobs::JobId job = fixture.submit(makeTasks(8), {500ms});
    cr_assert(fixture.completes(job, 5s));
    for (const RunRecord &run : world.m_fleet.m_history) {
        cr_assert(run.m_run.m_task.m_step.m_job != job || run.m_incarnation.m_worker == workers.back());
    }
}

/// A new holder planned with zones that it had not read since the store served it again.
Test(missedChanges, journalIsServedBeforeTheOperatorsLog_noInstanceClaimsTheDuty)
{
    WorldFixture fixture;
    World &world = fixture.m_world;
    for (int i = 0; i < world.instanceCount(); ++i) {
        world.m_faults.m_cutFromStore.insert(i);
    }
    world.setZoneOut(fleet::ZoneId("z0"), true);
    world.run(cutTime);
    world.kill(world.holder());
    world.m_faults.m_areOperatorReadsUnanswered = true;
    world.m_faults.m_cutFromStore.clear();
    world.run(cutTime);
    cr_assert_eq(world.holder(), -1);
    world.m_faults.m_areOperatorReadsUnanswered = false;
    cr_assert(fixture.waitForHolder(3s));
    const jobs::JobId job = fixture.submit(makeTasks(8), {300ms});
    cr_assert(fixture.completes(job, 5s));
    fixture.expectNoRunIn(fleet::ZoneId("z0"), job);
}

/// A holder planned with zones that it had not read for seconds.
Test(missedChanges, operatorsLogIsNotAnswered_holderStartsNothingUntilItIsReadAgain)
{
    WorldFixture fixture;
    World &world = fixture.m_world;
    const int holder = world.holder();
    const jobs::JobId first = fixture.submit(makeTasks(96), {4s});
    const jobs::JobId second = fixture.submit(makeTasks(8), {300ms});
    world.run(500ms);
    world.m_faults.m_areOperatorReadsUnanswered = true;
    world.setZoneOut(fleet::ZoneId("z0"), true);
    world.run(cutTime);
    cr_assert_eq(fixture.endedRunCount(first, "done"), 96);
    cr_assert_eq(fixture.runCount(second), 0);
    cr_assert_eq(world.holder(), holder);
    world.m_faults.m_areOperatorReadsUnanswered = false;
    cr_assert(fixture.completes(second, 5s));
    fixture.expectNoRunIn(fleet::ZoneId("z0"), second);
}
