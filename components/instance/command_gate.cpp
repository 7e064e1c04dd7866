#include "components/instance/command_gate.hpp"

namespace instance
{

namespace
{

void releaseStarts(CommandGate &gate, AppendTicket appended, fleet::TimePoint now, std::vector<scheduler::WorkerCommand> &released)
{
    for (auto held = gate.m_starts.begin(); held != gate.m_starts.end();) {
        if (held->second.m_ticket > appended && now < held->second.m_releaseAt) {
            ++held;
            continue;
        }
        const std::vector<scheduler::WorkerCommand> &commands = held->second.m_commands;
        released.insert(released.end(), commands.begin(), commands.end());
        held = gate.m_starts.erase(held);
    }
}

void releaseForgets(CommandGate &gate, AppendTicket appended, std::vector<scheduler::WorkerCommand> &released)
{
    while (!gate.m_forgets.empty() && gate.m_forgets.front().m_ticket <= appended) {
        released.push_back(gate.m_forgets.front().m_command);
        gate.m_forgets.pop_front();
    }
    std::erase_if(gate.m_ends, [&](const auto &end) {
        return end.second <= appended;
    });
}

}

void holdStart(CommandGate &gate, const fleet::JobId &job, AppendTicket ticket, fleet::TimePoint now)
{
    HeldStart &held = gate.m_starts[job];
    held.m_ticket = ticket;
    held.m_releaseAt = now + gate.m_maxStartDelay;
}

void holdForgets(CommandGate &gate, const fleet::JobId &job, AppendTicket ticket)
{
    gate.m_ends[job] = ticket;
}

std::vector<scheduler::WorkerCommand> pass(CommandGate &gate, const scheduler::WorkerCommand &command)
{
    if (command.m_kind == scheduler::CommandKind::Forget) {
        const auto end = gate.m_ends.find(command.m_task.m_job);
        if (end != gate.m_ends.end()) {
            gate.m_forgets.push_back({end->second, command});
            return {};
        }
    }
    const auto start = gate.m_starts.find(command.m_task.m_job);
    if (start != gate.m_starts.end()) {
        start->second.m_commands.push_back(command);
        return {};
    }
    return {command};
}

std::vector<scheduler::WorkerCommand> release(CommandGate &gate, AppendTicket appended, fleet::TimePoint now)
{
    std::vector<scheduler::WorkerCommand> released;
    releaseStarts(gate, appended, now, released);
    releaseForgets(gate, appended, released);
    return released;
}

}
