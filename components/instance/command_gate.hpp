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

/// Commands of one attempt that wait until the record of its start is in the log.
struct HeldStart
{
    AppendTicket m_ticket;
    fleet::TimePoint m_releaseAt;
    std::vector<scheduler::WorkerCommand> m_commands;

    bool operator==(const HeldStart &) const = default;
};

/// A command to forget a final status that waits until the record of the attempt's end is in the log.
struct HeldForget
{
    AppendTicket m_ticket;
    scheduler::WorkerCommand m_command;

    bool operator==(const HeldForget &) const = default;
};

/// Delays commands until the log holds the record that has to precede them.
///
/// A start waits at most `m_maxStartDelay` for the record of its attempt, because an unavailable log must not stop the zone.
/// A Forget waits without limit for the record of the attempt's end, because the worker's final status is the only proof of
/// that end until then.
struct CommandGate
{
    fleet::Duration m_maxStartDelay {1000};
    std::map<fleet::JobId, HeldStart> m_starts;
    std::deque<HeldForget> m_forgets;
    /// The last record that ends an attempt or a job, by job.
    std::map<fleet::JobId, AppendTicket> m_ends;

    bool operator==(const CommandGate &) const = default;
};

/// Delays every following command of the job until the record is in the log.
void holdStart(CommandGate &gate, const fleet::JobId &job, AppendTicket ticket, fleet::TimePoint now);

/// Delays every following Forget of the job until the record is in the log.
void holdForgets(CommandGate &gate, const fleet::JobId &job, AppendTicket ticket);

/// Returns the command if it may be sent now, and otherwise queues it.
std::vector<scheduler::WorkerCommand> pass(CommandGate &gate, const scheduler::WorkerCommand &command);

/// Returns the commands that may be sent once the log holds every record up to `appended`.
std::vector<scheduler::WorkerCommand> release(CommandGate &gate, AppendTicket appended, fleet::TimePoint now);

}

#endif
