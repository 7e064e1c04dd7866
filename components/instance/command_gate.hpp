#ifndef COMPONENTS_INSTANCE_COMMAND_GATE_HPP
#define COMPONENTS_INSTANCE_COMMAND_GATE_HPP

#include "components/fleet/time.hpp"
#include "components/instance/append_ticket.hpp"
#include "components/scheduler/worker_command.hpp"

#include <deque>
#include <map>
#include <vector>

namespace instance
{

/// Commands of one attempt that wait for its start to be recorded.
struct HeldStart
{
    AppendTicket m_ticket;
    fleet::TimePoint m_releaseAt;
    std::vector<scheduler::WorkerCommand> m_commands;

    bool operator==(const HeldStart &) const = default;
};

/// A command to forget a final status that waits for the end to be recorded.
struct HeldForget
{
    AppendTicket m_ticket;
    scheduler::WorkerCommand m_command;

    bool operator==(const HeldForget &) const = default;
};

/// Holds commands back until the log has the record that has to come before them.
///
/// A start waits for the record of its attempt at most `m_maxStartDelay`, since a log that is down must not stop a zone.
/// A worker's final status is not forgotten before the end that it proves is recorded, however long that takes.
struct CommandGate
{
    fleet::Duration m_maxStartDelay {1000};
    std::map<fleet::JobId, HeldStart> m_starts;
    std::deque<HeldForget> m_forgets;
    /// Last record of an attempt's or a job's end, by job.
    std::map<fleet::JobId, AppendTicket> m_ends;

    bool operator==(const CommandGate &) const = default;
};

/// From now on every command of the job waits for the record.
void holdStart(CommandGate &gate, const fleet::JobId &job, AppendTicket ticket, fleet::TimePoint now);

/// From now on every Forget of the job waits for the record.
void holdForgets(CommandGate &gate, const fleet::JobId &job, AppendTicket ticket);

/// Returns the command if it may leave now, otherwise keeps it.
std::vector<scheduler::WorkerCommand> pass(CommandGate &gate, const scheduler::WorkerCommand &command);

/// The commands that may leave now that the log has every record up to `appended`.
std::vector<scheduler::WorkerCommand> release(CommandGate &gate, AppendTicket appended, fleet::TimePoint now);

}

#endif
