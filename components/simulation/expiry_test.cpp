#include "components/journal/snapshot.hpp"
#include "components/simulation/world_fixture_test.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

const store::Topic journalTopic {"foxtailcross.journal", 0, false};
const store::Topic snapshotTopic {"foxtailcross.snapshot", 0, true};

void expireJournal(World &world)
{
    expire(world.m_store, journalTopic, world.m_store.m_topics[journalTopic].m_records.size());
}

/// Returns the kind of the instance's answer about the job; empty if there was none.
std::optional<callers::ReplyKind> askFor(World &world, int instance, jobs::JobId job)
{
    const int call = world.show(instance, job);
    world.runUntil(
        [&] {
            return world.outcome(call).m_reply.has_value();
        },
        3s);
    const auto &reply = world.outcome(call).m_reply;
    return reply ? std::optional(reply->m_kind) : std::nullopt;
}

/// Runs while the store keeps the journal's records for `kept`. Returns how long records were missing that had expired before a
/// snapshot of them was stored.
class ExpiringJournal
{
public:
    ExpiringJournal(World &world, fleet::Duration kept)
        : m_world(world)
        , m_kept(kept)
    {
    }

    fleet::Duration run(fleet::Duration length)
    {
        constexpr fleet::Duration step {100};
        fleet::Duration missing {0};
        for (fleet::Duration ran {0}; ran < length; ran += step) {
            m_world.run(step);
            TopicState &topic = m_world.m_store.m_topics[journalTopic];
            m_ends.emplace(m_world.now(), topic.m_records.size());
            for (; m_ends.begin()->first <= m_world.now() - m_kept; m_ends.erase(m_ends.begin())) {
                expire(m_world.m_store, journalTopic, m_ends.begin()->second);
            }
            const auto snapshot = journal::assembleSnapshot(newest(m_world.m_store, snapshotTopic));
            missing += topic.m_oldest > (snapshot ? snapshot->m_next : 0) ? step : fleet::Duration(0);
        }
        return missing;
    }

private:
    World &m_world;
    fleet::Duration m_kept;
    std::map<fleet::BootTime, std::uint64_t> m_ends;
};

std::uint64_t snapshotEnd(World &world)
{
    const auto snapshot = journal::assembleSnapshot(newest(world.m_store, snapshotTopic));
    return snapshot ? snapshot->m_next : 0;
}

int snapshotCount(World &world)
{
    return world.m_logCounts["journal/snapshot-stored"];
}

void runWithoutSnapshots(World &world, fleet::Duration length)
{
    for (fleet::Duration ran {0}; ran < length; ran += 1ms) {
        world.run(1ms);
        world.m_store.m_topics.erase(snapshotTopic);
    }
}

void killAll(World &world)
{
    for (int i = 0; i < world.instanceCount(); ++i) {
        world.kill(i);
    }
}

void restartAll(World &world)
{
    for (int i = 0; i < world.instanceCount(); ++i) {
        world.restart(i);
    }
}

}

/// Guards against snapshots that wait for a moment without records under way. While a job of many short tasks ran there was none, and all jobs
/// were lost with the first restart of all instances after the retention.
Test(expiry, recordsFollowEachOtherWithoutPause_snapshotsAreStoredInTime)
{
    WorldSettings settings;
    settings.m_journalRetention = 4s;
    settings.m_oneWayLatency = 15ms;
    settings.m_workersPerZone = 1;
    WorldFixture fixture(settings);
    const jobs::JobId done = fixture.submit(makeTasks(1), {300ms});
    cr_assert(fixture.completes(done, 3s));
    jobs::JobSpec timed;
    timed.m_id.m_value = 0x2000;
    timed.m_queue = fleet::QueueId("q2");
    timed.m_steps = {makeTasks(1)};
    timed.m_schedule = {1'000'000, fleet::TimePoint(1s), 1s};
    const int call = fixture.m_world.submit(fixture.nonHolder(), timed, {20ms});
    ExpiringJournal journal(fixture.m_world, settings.m_journalRetention);
    cr_assert_eq(journal.run(9s).count(), 0);
    cr_assert(fixture.m_world.wasAccepted(call));
    killAll(fixture.m_world);
    fixture.m_world.run(500ms);
    restartAll(fixture.m_world);
    cr_assert(fixture.waitForHolder(5s));
    cr_assert(fixture.m_world.stateOf(0, done) == jobs::JobState::Completed);
    cr_assert(fixture.m_world.stateOf(0, timed.m_id) == jobs::JobState::Running);
    fixture.expectNoViolation();
}

/// Guards against a new holder that writes its first snapshot over the only whole one (review/6): a large one takes two appends, and all instances may lose
/// power between them.
Test(expiry, powerIsLostDuringTheFirstSnapshotOfANewHolder_theJobsAreKnown)
{
    constexpr int count = 320;
    WorldSettings settings;
    settings.m_journalRetention = 20s;
    WorldFixture fixture(settings);
    World &world = fixture.m_world;
    std::vector<jobs::JobId> accepted;
    for (int i = 0; i < count; ++i) {
        jobs::JobSpec spec;
        spec.m_id.m_value = 0x3000 + static_cast<std::uint64_t>(i);
        spec.m_queue = fleet::QueueId("q1");
        spec.m_payload = std::string(4000, 'x');
        spec.m_steps = {makeTasks(1)};
        world.submit(fixture.nonHolder(), spec, {30s});
        accepted.push_back(spec.m_id);
        world.run(5ms);
    }
    cr_assert(world.runUntil(
        [&] {
            return snapshotCount(world) == 1;
        },
        10s));
    const std::uint64_t whole = snapshotEnd(world);
    expire(world.m_store, journalTopic, whole);
    world.requestStop(world.holder());
    // The first record of a snapshot that is not its last is stored once the topic has parts, but the head names the one before.
    const auto partCount = [&] {
        return std::count_if(
            world.m_store.m_topics[snapshotTopic].m_keys.begin(), world.m_store.m_topics[snapshotTopic].m_keys.end(), [](const std::string &key) {
                return key.starts_with("part/");
            });
    };
    const auto before = partCount();
    while (partCount() == before) {
        world.run(1ms);
    }
    killAll(world);
    world.run(1s);
    restartAll(world);
    cr_assert(fixture.waitForHolder(5s));
    for (const jobs::JobId job : accepted) {
        cr_assert(askFor(world, 0, job) == callers::ReplyKind::State, "%s", toString(job).c_str());
    }
}

/// The holder knows the job and stores a snapshot of it later.
Test(expiry, recordsExpiredBeforeASnapshotOfThem_startingInstanceDoesNotDenyTheJob)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {60s});
    fixture.m_world.run(1s);
    expireJournal(fixture.m_world);
    const int other = fixture.nonHolder();
    fixture.m_world.kill(other);
    fixture.m_world.restart(other);
    fixture.m_world.run(2s);
    cr_assert(askFor(fixture.m_world, other, job) != callers::ReplyKind::NoSuchJob);
}

Test(expiry, recordsExpiredBeforeASnapshotOfThem_startingInstanceKnowsTheJobFromTheNextSnapshot)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {60s});
    fixture.m_world.run(1s);
    expireJournal(fixture.m_world);
    const int other = fixture.nonHolder();
    fixture.m_world.kill(other);
    fixture.m_world.restart(other);
    const int before = fixture.m_world.m_logCounts["journal/snapshot-stored"];
    cr_assert(fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.m_logCounts["journal/snapshot-stored"] > before;
        },
        40s));
    fixture.m_world.run(2s);
    cr_assert(fixture.m_world.stateOf(other, job) == jobs::JobState::Running);
}

/// The snapshot of an instance that lacks records would replace one that has them. No instance finds a snapshot until each but one
/// has been started anew.
Test(expiry, recordsExpiredBeforeASnapshotOfThem_incompleteInstanceDoesNotTakeTheDuty)
{
    WorldFixture fixture;
    World &world = fixture.m_world;
    const jobs::JobId job = fixture.submit(makeTasks(1), {15s});
    world.run(1s);
    expireJournal(world);
    std::set<int> incomplete {fixture.nonHolder()};
    world.kill(*incomplete.begin());
    world.restart(*incomplete.begin());
    runWithoutSnapshots(world, 2s);
    while (static_cast<int>(incomplete.size()) < world.instanceCount()) {
        const int holder = world.holder();
        cr_assert(holder >= 0 && !incomplete.contains(holder), "with %zu incomplete instances", incomplete.size());
        incomplete.insert(holder);
        if (static_cast<int>(incomplete.size()) < world.instanceCount()) {
            world.kill(holder);
            runWithoutSnapshots(world, 4s);
            cr_assert_neq(world.holder(), -1);
            world.restart(holder);
            runWithoutSnapshots(world, 300ms);
        }
    }
    world.run(2s);
    for (int i = 0; i < 8; ++i) {
        const int holder = world.holder();
        cr_assert(holder >= 0 && askFor(world, holder, job) == callers::ReplyKind::State, "after %d changes of hands", i);
        world.kill(holder);
        cr_assert(fixture.waitForHolder(5s));
        world.restart(holder);
        world.run(300ms);
    }
    cr_assert(fixture.completes(job, 30s));
    cr_assert_eq(fixture.runCount(job), 1);
}

/// The store remembers the epoch of claims whose records have expired, and refuses lower ones.
Test(expiry, claimsExpiredBeforeASnapshotOfThem_theDutyIsTakenAgain)
{
    for (int earlierClaims = 1; earlierClaims <= 12; ++earlierClaims) {
        WorldFixture fixture;
        for (int i = 1; i < earlierClaims; ++i) {
            const int holder = fixture.m_world.holder();
            fixture.m_world.kill(holder);
            cr_assert(fixture.waitForHolder(10s));
            fixture.m_world.restart(holder);
            fixture.m_world.run(1s);
        }
        killAll(fixture.m_world);
        expireJournal(fixture.m_world);
        // As if no snapshot had been stored before the instances ended.
        fixture.m_world.m_store.m_topics.erase(snapshotTopic);
        fixture.m_world.run(1s);
        restartAll(fixture.m_world);
        cr_assert(fixture.waitForHolder(6s), "after %d claims", earlierClaims);
        const jobs::JobId job = fixture.submit(makeTasks(1), {300ms});
        cr_assert(fixture.completes(job, 10s), "after %d claims", earlierClaims);
        fixture.expectNoViolation();
    }
}

/// Frozen for longer than the journal is kept; snapshots are stored meanwhile.
Test(expiry, instanceFrozenForLongerThanTheRetention_knowsTheJobsAtOnce)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        WorldSettings settings;
        settings.m_seed = seed;
        settings.m_journalRetention = 20s;
        WorldFixture fixture(settings);
        const jobs::JobId before = fixture.submit(makeTasks(1), {300ms});
        cr_assert(fixture.completes(before, 3s));
        fixture.m_world.run(6s);
        const int other = fixture.nonHolder();
        fixture.m_world.freeze(other, 30s);
        jobs::JobId during;
        for (int i = 0; i < fixture.m_world.instanceCount(); ++i) {
            if (i != other && i != fixture.m_world.holder()) {
                fixture.submitThrough(i, makeTasks(1), {200ms}, 1, during);
                break;
            }
        }
        fixture.m_world.run(29s);
        const auto snapshot = journal::assembleSnapshot(newest(fixture.m_world.m_store, snapshotTopic));
        cr_assert(snapshot.has_value());
        expire(fixture.m_world.m_store, journalTopic, snapshot->m_next);
        const int firstCall = fixture.m_world.show(other, before);
        const int secondCall = fixture.m_world.show(other, during);
        fixture.m_world.run(5s);
        for (const int call : {firstCall, secondCall}) {
            const auto &reply = fixture.m_world.outcome(call).m_reply;
            cr_assert(reply && reply->m_kind != callers::ReplyKind::NoSuchJob, "seed %u", seed);
        }
        cr_assert(fixture.m_world.stateOf(other, during) == jobs::JobState::Completed, "seed %u", seed);
        fixture.expectNoViolation();
    }
}

/// The instances that start read the record of a snapshot that is as old as the interval between snapshots.
Test(expiry, allInstancesRestartedLongAfterASnapshot_nextSnapshotIsNotDelayedByAnInterval)
{
    WorldFixture fixture;
    const int before = snapshotCount(fixture.m_world);
    cr_assert(fixture.m_world.runUntil(
        [&] {
            return snapshotCount(fixture.m_world) > before;
        },
        40s));
    fixture.m_world.run(12s);
    killAll(fixture.m_world);
    fixture.m_world.run(1s);
    restartAll(fixture.m_world);
    const int stored = snapshotCount(fixture.m_world);
    cr_assert(fixture.m_world.runUntil(
        [&] {
            return snapshotCount(fixture.m_world) > stored;
        },
        6s));
}

/// Guards against a snapshot after each change of the holder, since bytes to the store are priced.
Test(expiry, holderChangesOften_snapshotsStayAsRareAsWithOneHolder)
{
    WorldFixture fixture;
    const int before = snapshotCount(fixture.m_world);
    for (int i = 0; i < 12; ++i) {
        const int holder = fixture.m_world.holder();
        fixture.m_world.kill(holder);
        cr_assert(fixture.waitForHolder(10s));
        fixture.m_world.restart(holder);
        fixture.m_world.run(5s);
    }
    cr_assert_leq(snapshotCount(fixture.m_world) - before, 6);
}

/// The settings say five minutes. Until a record has expired, the instances can't know that it is less.
Test(expiry, storeKeepsRecordsForLessThanTheSettingsSay_snapshotsContainThemBeforeTheyExpire)
{
    for (const fleet::Duration kept : {4s, 8s, 12s}) {
        WorldFixture fixture;
        ExpiringJournal journal(fixture.m_world, kept);
        journal.run(20s);
        cr_assert_eq(journal.run(60s).count(), 0, "kept for %d ms", static_cast<int>(kept.count()));
        fixture.expectNoViolation();
    }
}

Test(expiry, storeKeepsRecordsForLessThanTheSettingsSay_jobsOutliveRestartsOfAllInstances)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        WorldSettings settings;
        settings.m_seed = seed;
        WorldFixture fixture(settings);
        ExpiringJournal journal(fixture.m_world, 10s);
        const jobs::JobId job = fixture.submit(makeTasks(1), {100s});
        journal.run(20s);
        for (int i = 0; i < 4; ++i) {
            journal.run(fleet::Duration(5000 + static_cast<int>(fixture.m_world.random()() % 8000)));
            killAll(fixture.m_world);
            journal.run(1s);
            restartAll(fixture.m_world);
        }
        cr_assert_eq(journal.run(60s).count(), 0, "seed %u", seed);
        cr_assert(askFor(fixture.m_world, fixture.nonHolder(), job) == callers::ReplyKind::State, "seed %u", seed);
        cr_assert(fixture.completes(job, 60s), "seed %u", seed);
        cr_assert_eq(fixture.runCount(job), 1, "seed %u", seed);
    }
}

/// Guards against more snapshots than the settings ask for, since bytes to the store are priced.
Test(expiry, nothingExpires_snapshotsStayAsRareAsTheSettingsAsk)
{
    WorldFixture fixture;
    ExpiringJournal journal(fixture.m_world, 300s);
    const int before = snapshotCount(fixture.m_world);
    journal.run(90s);
    cr_assert_leq(snapshotCount(fixture.m_world) - before, 7);
}

/// No snapshot ever holds the job's record, so that only what the instance knows of its own gap keeps it from denying the job.
Test(expiry, recordsExpiredAndNoSnapshotIsStored_startingInstanceDoesNotDenyTheJob)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {60s});
    fixture.m_world.run(1s);
    expireJournal(fixture.m_world);
    const int other = fixture.nonHolder();
    fixture.m_world.kill(other);
    fixture.m_world.restart(other);
    runWithoutSnapshots(fixture.m_world, 2s);
    const int call = fixture.m_world.show(other, job);
    runWithoutSnapshots(fixture.m_world, 500ms);
    const auto &reply = fixture.m_world.outcome(call).m_reply;
    cr_assert(reply && reply->m_kind == callers::ReplyKind::Refused);
}

/// The answer to the read of the snapshots arrives before the holder's next tick, which would have made it step down.
Test(expiry, recordsExpiredBeforeTheHolderReadThem_instanceThatHasThemTakesTheDuty)
{
    WorldFixture fixture;
    World &world = fixture.m_world;
    world.run(3s);
    const int holder = world.holder();
    const int other = fixture.nonHolder();
    world.freeze(holder, 300ms);
    jobs::JobId job;
    const int call = fixture.submitThrough(other, makeTasks(1), {500ms}, 1, job);
    cr_assert(world.runUntil(
        [&] {
            return world.wasAccepted(call);
        },
        200ms));
    const int show = world.show(other, job);
    world.run(50ms);
    cr_assert(world.outcome(show).m_reply && world.outcome(show).m_reply->m_kind == callers::ReplyKind::State);
    expireJournal(world);
    cr_assert(fixture.completes(job, 30s));
}

/// The holder ends between its snapshot and the record of it; the instance that is left lacks the records before.
Test(expiry, holderEndsBeforeTheRecordOfItsSnapshot_incompleteInstanceReadsTheSnapshotBeforeItTakesTheDuty)
{
    WorldFixture fixture;
    World &world = fixture.m_world;
    const jobs::JobId job = fixture.submit(makeTasks(1), {60s});
    world.run(1s);
    const std::uint64_t oldest = world.m_store.m_topics[journalTopic].m_records.size();
    expire(world.m_store, journalTopic, oldest);
    world.m_store.m_topics.erase(snapshotTopic);
    const int left = fixture.nonHolder();
    world.kill(left);
    world.restart(left);
    bool isStored = false;
    for (int i = 0; i < 40000 && !isStored; ++i) {
        world.run(1ms);
        isStored = snapshotEnd(world) >= oldest;
    }
    cr_assert(isStored);
    for (int i = 0; i < world.instanceCount(); ++i) {
        if (i != left) {
            world.kill(i);
        }
    }
    cr_assert(fixture.waitForHolder(20s));
    cr_assert_eq(world.holder(), left);
    world.run(500ms);
    cr_assert(world.stateOf(left, job) == jobs::JobState::Running, "the stored snapshot contains the job");
}
