#ifndef COMPONENTS_INSTANCE_WORKER_LINKS_HPP
#define COMPONENTS_INSTANCE_WORKER_LINKS_HPP

#include "components/instance/worker_message.hpp"

#include <map>
#include <vector>

namespace instance
{

/// State of the message exchange with one worker.
struct WorkerLink
{
    /// Commands that wait for the answer to the message in flight.
    std::vector<scheduler::WorkerCommand> m_queued;
    bool m_inFlight = false;
    /// When the message in flight, or the last one, was sent.
    fleet::TimePoint m_sentAt;
    /// True if the worker has reported since this instance took over the duty.
    bool m_hasReported = false;
    /// True if the last report listed a lease or a final status.
    bool m_hasTasks = false;

    bool operator==(const WorkerLink &) const = default;
};

/// Message exchange with the workers of one zone. One message at a time is in flight to each worker, so that commands keep
/// their order.
struct WorkerLinks
{
    /// A worker with tasks is polled after this time without a message.
    fleet::Duration m_busyPoll {1000};
    /// A worker without tasks is polled after this time without a message.
    fleet::Duration m_idlePoll {5000};
    std::map<fleet::WorkerId, WorkerLink> m_links;

    bool operator==(const WorkerLinks &) const = default;
};

void addWorker(WorkerLinks &links, const fleet::WorkerId &worker);
void removeWorker(WorkerLinks &links, const fleet::WorkerId &worker);

/// Queues a command. A command for an unknown worker is dropped.
void addCommand(WorkerLinks &links, const scheduler::WorkerCommand &command);

/// Returns the messages to send now, at most one per worker, and marks them as sent.
std::vector<WorkerMessage> beginMessages(WorkerLinks &links, fleet::FencingToken fence, fleet::TimePoint now);

/// Handles the end of the message in flight and returns when that message was sent. `answered` is false if no answer came; the
/// commands of that message are not repeated.
fleet::TimePoint endMessage(WorkerLinks &links, const fleet::WorkerId &worker, bool answered, bool hasTasks);

/// True if every worker has answered at least once.
bool haveAllWorkersReported(const WorkerLinks &links);

}

#endif
