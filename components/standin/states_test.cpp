#include "components/standin/list_versions.hpp"
#include "components/standin/log_streams.hpp"
#include "components/standin/runner_state.hpp"
#include "components/standin/worker_state.hpp"

#include <criterion/criterion.h>

namespace
{

using scheduler::CommandKind;
using scheduler::TaskPhase;
using scheduler::TaskRef;

constexpr fleet::Duration lease {10'000};
const fleet::WorkerId worker("w-1");
const fleet::Resources half {16'000, 32'000, 4};

fleet::TimePoint at(std::int64_t milliseconds)
{
    return fleet::fromMilliseconds(1'000'000 + milliseconds);
}

standin::WorkerState makeWorker()
{
    standin::WorkerState table;
    table.m_info = {worker, fleet::ZoneId("kochi"), fleet::RackId("rack-1"), {32'000, 64'000, 8}};
    table.m_defaultRunTime = fleet::Duration(15'000);
    return table;
}

TaskRef task(int number)
{
    return {fleet::JobId("job"), 1, number};
}

platform::TaskCommand command(CommandKind kind, int number, fleet::Duration resumeFrom = {})
{
    return {{worker, kind, task(number), half, lease, resumeFrom}, {}};
}

platform::CommandResult sendCommands(standin::WorkerState &table, std::int64_t now, std::vector<platform::TaskCommand> commands, std::uint64_t fence = 1)
{
    return standin::apply(table, {fleet::InstanceId("i"), {fence}, std::move(commands)}, at(now));
}

TaskPhase phaseOf(standin::WorkerState &table, std::int64_t now, int number)
{
    standin::advance(table, at(now));
    return table.m_tasks.at(task(number)).m_phase;
}

}

Test(log_table, recordsPastRetention_expireAndOffsetsContinue)
{
    standin::LogStreams table;
    table.m_retention = fleet::Duration(100);
    cr_assert_eq(standin::append(table, "s", "a", at(0)), 0U);
    cr_assert_eq(standin::append(table, "s", "b", at(60)), 1U);
    const auto page = standin::read(table, "s", 0, 10, at(120));
    cr_assert_eq(page.m_firstOffset, 1U);
    cr_assert_eq(page.m_endOffset, 2U);
    cr_assert_eq(page.m_records.front().m_body, "b");
    cr_assert(standin::read(table, "s", 0, 10, at(1000)).m_records.empty());
    cr_assert_eq(standin::append(table, "s", "c", at(1000)), 2U);
}

Test(log_table, limitAndOffsetPastTheEnd_areRespected)
{
    standin::LogStreams table;
    for (const char *body : {"a", "b", "c"}) {
        standin::append(table, "s", body, at(0));
    }
    cr_assert_eq(standin::read(table, "s", 1, 1, at(0)).m_records.front().m_body, "b");
    cr_assert(standin::read(table, "s", 9, 10, at(0)).m_records.empty());
}

Test(list_table, laggingView_showsTheOlderVersion)
{
    standin::ListVersions table;
    platform::PlatformList list;
    list.m_runners.push_back({fleet::RunnerId("r"), fleet::ZoneId("kochi"), {"127.0.0.1", 1}, 8, 60, false});
    standin::addVersion(table, list, at(0));
    cr_assert(standin::setLeaving(list, "r", true));
    standin::addVersion(table, list, at(100));
    cr_assert_not(standin::listAt(table, at(99)).m_runners.front().m_leaving);
    cr_assert(standin::listAt(table, at(100)).m_runners.front().m_leaving);
    cr_assert_not(standin::setLeaving(list, "other", true));
}

Test(worker_table, lowerFencingToken_isRefusedWithoutEffect)
{
    auto table = makeWorker();
    sendCommands(table, 0, {}, 57);
    const auto refused = sendCommands(table, 0, {command(CommandKind::Reserve, 0)}, 42);
    cr_assert(refused.m_outcome == platform::CommandOutcome::Fenced);
    cr_assert_eq(refused.m_fence.m_value, 57U);
    cr_assert(table.m_tasks.empty());
}

Test(worker_table, leaseNotRenewed_expiresAndCannotBeStarted)
{
    auto table = makeWorker();
    sendCommands(table, 0, {command(CommandKind::Reserve, 0)});
    cr_assert(phaseOf(table, 9'999, 0) == TaskPhase::Reserved);
    cr_assert(phaseOf(table, 10'000, 0) == TaskPhase::LeaseExpired);
    sendCommands(table, 10'001, {command(CommandKind::Start, 0)});
    cr_assert(phaseOf(table, 10'001, 0) == TaskPhase::LeaseExpired);
    cr_assert(standin::usedResources(table) == fleet::Resources());
}

Test(worker_table, renewedTask_succeedsAtItsRunTimeAndIsKeptUntilForgotten)
{
    auto table = makeWorker();
    sendCommands(table, 0, {command(CommandKind::Reserve, 0), command(CommandKind::Start, 0)});
    sendCommands(table, 9'000, {command(CommandKind::Renew, 0)});
    cr_assert(phaseOf(table, 14'999, 0) == TaskPhase::Running);
    cr_assert(phaseOf(table, 60'000, 0) == TaskPhase::Succeeded);
    cr_assert(table.m_history.back() == (standin::TaskEvent {at(15'000), task(0), TaskPhase::Succeeded}));
    cr_assert_eq(sendCommands(table, 60'000, {}).m_tasks.size(), 1U);
    cr_assert(sendCommands(table, 60'000, {command(CommandKind::Forget, 0)}).m_tasks.empty());
}

Test(worker_table, reservationOverCapacity_isRefused)
{
    auto table = makeWorker();
    sendCommands(table, 0, {command(CommandKind::Reserve, 0), command(CommandKind::Reserve, 1), command(CommandKind::Reserve, 2)});
    cr_assert(phaseOf(table, 1, 1) == TaskPhase::Reserved);
    cr_assert(phaseOf(table, 1, 2) == TaskPhase::Refused);
}

Test(worker_table, stopBeforeReservation_keepsTheTaskStopped)
{
    auto table = makeWorker();
    sendCommands(table, 0, {command(CommandKind::Stop, 0)});
    sendCommands(table, 1, {command(CommandKind::Reserve, 0), command(CommandKind::Start, 0)});
    cr_assert(phaseOf(table, 2, 0) == TaskPhase::Stopped);
}

Test(worker_table, throttledTask_runsAtHalfSpeedAndCheckpointCoversItsRun)
{
    auto table = makeWorker();
    sendCommands(table, 0, {command(CommandKind::Reserve, 0), command(CommandKind::Start, 0, fleet::Duration(10'000)), command(CommandKind::Throttle, 0)});
    sendCommands(table, 4'000, {command(CommandKind::Checkpoint, 0), command(CommandKind::Renew, 0)});
    cr_assert_eq(table.m_tasks.at(task(0)).m_checkpointed.count(), 12'000);
    cr_assert(phaseOf(table, 9'999, 0) == TaskPhase::Running);
    cr_assert(phaseOf(table, 10'001, 0) == TaskPhase::Succeeded);
}

Test(worker_table, workerThatFailsTasks_failsSoonAfterTheStart)
{
    auto table = makeWorker();
    table.m_failsTasks = true;
    sendCommands(table, 0, {command(CommandKind::Reserve, 0), command(CommandKind::Start, 0)});
    cr_assert(phaseOf(table, 600, 0) == TaskPhase::Failed);
}

Test(runner_table, noFreeSlot_refusesAndRecordsTheReceipt)
{
    standin::RunnerState table;
    table.m_slots = 1;
    const platform::RunRequest request {fleet::RequestId("r"), 1, fleet::AccountId("a"), "preview", "body"};
    cr_assert(standin::startRequest(table, request, at(0)));
    cr_assert_not(standin::startRequest(table, request, at(1)));
    standin::finishRequest(table);
    cr_assert(standin::startRequest(table, request, at(2)));
    cr_assert_eq(table.m_received.size(), 3U);
    cr_assert_not(table.m_received[1].m_accepted);
}
