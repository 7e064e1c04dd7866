#include "components/platform/worker_codec.hpp"

#include "components/http/result.hpp"
#include "components/platform/decode_error.hpp"
#include "components/platform/enum_names.hpp"
#include "components/platform/json_fields.hpp"
#include "components/platform/resources_json.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace platform
{

using scheduler::CommandKind;

namespace
{

constexpr int statusOk = 200;
constexpr int statusConflict = 409;

fleet::Duration durationField(const boost::json::object &object, std::string_view name)
{
    return fleet::Duration(nonNegativeField(object, name, 0));
}

void addTask(boost::json::object &object, const scheduler::TaskRef &task)
{
    object["job"] = task.m_job.value();
    object["attempt"] = task.m_attempt;
    object["task"] = task.m_task;
}

scheduler::TaskRef decodeTask(const boost::json::object &object)
{
    return {fleet::JobId(stringField(object, "job")), nonNegativeIntField(object, "attempt"), nonNegativeIntField(object, "task")};
}

boost::json::object encodeCommand(const TaskCommand &item)
{
    const auto &command = item.m_command;
    boost::json::object object {{"op", commandName(command.m_kind)}};
    addTask(object, command.m_task);
    if (command.m_kind == CommandKind::Reserve) {
        addResources(object, command.m_resources);
    }
    if (command.m_kind == CommandKind::Reserve || command.m_kind == CommandKind::Start || command.m_kind == CommandKind::Renew) {
        object["leaseMs"] = command.m_leaseLength.count();
    }
    if (command.m_kind == CommandKind::Start) {
        object["resumeFromMs"] = command.m_resumeFrom.count();
    }
    if (command.m_kind == CommandKind::Start && item.m_standInRunTime.count() > 0) {
        object["runForMs"] = item.m_standInRunTime.count();
    }
    return object;
}

TaskCommand decodeCommand(const boost::json::object &object, const fleet::WorkerId &worker)
{
    TaskCommand item;
    auto &command = item.m_command;
    command.m_worker = worker;
    command.m_kind = parseCommandName(stringField(object, "op"));
    command.m_task = decodeTask(object);
    if (command.m_kind == CommandKind::Reserve) {
        command.m_resources = decodeResources(object);
    }
    command.m_leaseLength = durationField(object, "leaseMs");
    command.m_resumeFrom = durationField(object, "resumeFromMs");
    item.m_standInRunTime = durationField(object, "runForMs");
    return item;
}

scheduler::TaskStatus decodeStatus(const boost::json::object &object)
{
    return {decodeTask(object), parsePhaseName(stringField(object, "phase")), durationField(object, "checkpointedMs"), durationField(object, "ranMs")};
}

CommandResult decodeAnswer(const http::Response &response)
{
    if (response.m_status != statusOk && response.m_status != statusConflict) {
        return {CommandOutcome::Unknown, {}, {}, "the worker answered with status " + std::to_string(response.m_status)};
    }
    const auto object = parseObject(response.m_body);
    CommandResult result;
    result.m_fence = {static_cast<std::uint64_t>(nonNegativeField(object, "fence"))};
    result.m_outcome = response.m_status == statusOk ? CommandOutcome::Reported : CommandOutcome::Fenced;
    if (result.m_outcome == CommandOutcome::Reported) {
        for (const auto &element : arrayField(object, "tasks")) {
            result.m_tasks.push_back(decodeStatus(asObject(element)));
        }
    }
    return result;
}

}

std::string encodeCommands(const CommandMessage &message)
{
    boost::json::array commands;
    for (const auto &item : message.m_commands) {
        commands.push_back(encodeCommand(item));
    }
    const boost::json::object object {{"holder", message.m_holder.value()}, {"fence", message.m_fence.m_value}, {"commands", std::move(commands)}};
    return boost::json::serialize(object);
}

CommandMessage decodeCommands(std::string_view text, const fleet::WorkerId &worker)
{
    const auto object = parseObject(text);
    CommandMessage message;
    message.m_holder = fleet::InstanceId(stringField(object, "holder"));
    message.m_fence = {static_cast<std::uint64_t>(nonNegativeField(object, "fence"))};
    for (const auto &element : arrayField(object, "commands")) {
        message.m_commands.push_back(decodeCommand(asObject(element), worker));
    }
    return message;
}

std::string encodeTaskReport(fleet::FencingToken fence, const std::vector<scheduler::TaskStatus> &tasks)
{
    boost::json::array array;
    for (const auto &status : tasks) {
        boost::json::object object;
        addTask(object, status.m_task);
        object["phase"] = phaseName(status.m_phase);
        object["checkpointedMs"] = status.m_checkpointed.count();
        object["ranMs"] = status.m_ran.count();
        array.push_back(std::move(object));
    }
    return boost::json::serialize(boost::json::object {{"fence", fence.m_value}, {"tasks", std::move(array)}});
}

std::string encodeFenced(fleet::FencingToken fence)
{
    return boost::json::serialize(boost::json::object {{"fence", fence.m_value}});
}

CommandResult toCommandResult(const http::Result &result)
{
    if (result.m_kind != http::ResultKind::Answered) {
        const bool unsent = result.m_kind == http::ResultKind::NotSent;
        return {unsent ? CommandOutcome::NotSent : CommandOutcome::Unknown, {}, {}, result.m_reason};
    }
    try {
        return decodeAnswer(result.m_response);
    } catch (const DecodeError &error) {
        return {CommandOutcome::Unknown, {}, {}, error.what()};
    }
}

std::string encodeUsage(const UsageReport &usage)
{
    boost::json::object object {{"asOf", fleet::toMilliseconds(usage.m_asOf)}};
    addResources(object, usage.m_used);
    return boost::json::serialize(object);
}

UsageReport decodeUsage(std::string_view text)
{
    const auto object = parseObject(text);
    return {fleet::fromMilliseconds(nonNegativeField(object, "asOf")), decodeResources(object)};
}

}
