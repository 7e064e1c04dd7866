#include "components/instance/command_gate.hpp"
#include "components/instance/log_writer.hpp"
#include "components/instance/worker_links.hpp"

#include <string>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;
using instance::AppendOutcome;
using scheduler::CommandKind;

const fleet::TimePoint start = fleet::fromMilliseconds(1'000'000);

scheduler::WorkerCommand command(CommandKind kind, const std::string &job, const std::string &worker = "w")
{
    return {fleet::WorkerId(worker), kind, {fleet::JobId(job), 1, 0}, {}, 10s, 0ms};
}

}

Test(logWriter, recordsWithinTheDelay_shareOneAppend)
{
    instance::LogWriter<std::string> writer;
    writer.add("a", start);
    const auto second = writer.add("b", start + 20ms);
    cr_assert(writer.beginAppend(start + 49ms).empty());
    cr_assert_eq(writer.beginAppend(start + 50ms).size(), 2);
    cr_assert(writer.beginAppend(start + 60ms).empty());
    writer.endAppend(AppendOutcome::Appended, start + 60ms);
    cr_assert(writer.isAppended(second));
}

Test(logWriter, unknownOutcome_repeatsTheSameRecordsFirst)
{
    instance::LogWriter<std::string> writer;
    const auto first = writer.add("a", start);
    writer.beginAppend(start + 50ms);
    writer.endAppend(AppendOutcome::Unknown, start + 1s);
    const auto second = writer.add("b", start + 1s);
    cr_assert_not(writer.withdraw(first));
    cr_assert(writer.beginAppend(start + 1s).empty());
    const auto group = writer.beginAppend(start + 2s);
    cr_assert(group == (std::vector<std::string> {"a", "b"}));
    cr_assert_not(writer.withdraw(second));
}

Test(logWriter, recordThatWasNeverSent_canBeWithdrawn)
{
    instance::LogWriter<std::string> writer;
    const auto first = writer.add("a", start);
    writer.beginAppend(start + 50ms);
    writer.endAppend(AppendOutcome::NotAppended, start + 1s);
    cr_assert(writer.withdraw(first));
    cr_assert(writer.beginAppend(start + 10s).empty());
}

Test(workerLinks, commandDuringAMessage_waitsForItsEnd)
{
    instance::WorkerLinks links;
    const fleet::WorkerId worker("w");
    instance::addWorker(links, worker);
    cr_assert_eq(instance::beginMessages(links, {7}, start).size(), 1);
    instance::addCommand(links, command(CommandKind::Reserve, "j"));
    cr_assert(instance::beginMessages(links, {7}, start + 1s).empty());
    cr_assert(instance::endMessage(links, worker, true, false) == start);
    const auto messages = instance::beginMessages(links, {7}, start + 1s);
    cr_assert_eq(messages.at(0).m_commands.size(), 1);
    cr_assert_eq(messages.at(0).m_fence.m_value, 7);
}

Test(workerLinks, workerWithoutAnswer_hasNotReported)
{
    instance::WorkerLinks links;
    instance::addWorker(links, fleet::WorkerId("w"));
    instance::beginMessages(links, {7}, start);
    instance::endMessage(links, fleet::WorkerId("w"), false, false);
    cr_assert_not(instance::haveAllWorkersReported(links));
}

Test(commandGate, startOfAnUnrecordedAttempt_waitsAndKeepsItsOrder)
{
    instance::CommandGate gate;
    instance::holdStart(gate, fleet::JobId("j"), {5}, start);
    cr_assert(instance::pass(gate, command(CommandKind::Start, "j")).empty());
    cr_assert(instance::pass(gate, command(CommandKind::Stop, "j")).empty());
    cr_assert_eq(instance::pass(gate, command(CommandKind::Renew, "other")).size(), 1);
    cr_assert(instance::release(gate, {4}, start + 999ms).empty());
    const auto released = instance::release(gate, {5}, start + 999ms);
    cr_assert_eq(released.size(), 2);
    cr_assert(released[0].m_kind == CommandKind::Start);
}

Test(commandGate, logDown_startIsReleasedAfterTheMaxDelay)
{
    instance::CommandGate gate;
    instance::holdStart(gate, fleet::JobId("j"), {5}, start);
    instance::pass(gate, command(CommandKind::Start, "j"));
    cr_assert_eq(instance::release(gate, {0}, start + 1s).size(), 1);
}

Test(commandGate, logDown_finalStatusIsNeverForgotten)
{
    instance::CommandGate gate;
    instance::holdForgets(gate, fleet::JobId("j"), {5});
    cr_assert(instance::pass(gate, command(CommandKind::Forget, "j")).empty());
    cr_assert(instance::release(gate, {4}, start + 24h).empty());
    cr_assert_eq(instance::release(gate, {5}, start).size(), 1);
}
