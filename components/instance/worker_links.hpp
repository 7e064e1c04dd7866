#ifndef COMPONENTS_INSTANCE_WORKER_LINKS_HPP
#define COMPONENTS_INSTANCE_WORKER_LINKS_HPP

#include "components/instance/worker_message.hpp"

#include <map>
#include <vector>

namespace instance
{

/// The messages to one worker.
struct WorkerLink
{
    /// Commands that wait for the answer of the message under way.
    std::vector<scheduler::WorkerCommand> m_queued;
    bool m_inFlight = false;
    /// When the message under way, or the last one, was sent.
    fleet::TimePoint m_sentAt;
    /// A report was taken in since the duty was taken over.
    bool m_hasReported = false;
    /// The last report listed a lease or a final status.
    bool m_hasTasks = false;

    bool operator==(const WorkerLink &) const = default;
};

/// Messages to the workers of one zone: one at a time to each worker, so that commands never overtake one another.
struct WorkerLinks
{
    /// A worker that holds tasks is asked again after this long without a message.
    fleet::Duration m_busyPoll {1000};
    /// A worker without tasks.
    fleet::Duration m_idlePoll {5000};
    std::map<fleet::WorkerId, WorkerLink> m_links;

    bool operator==(const WorkerLinks &) const = default;
};

void addWorker(WorkerLinks &links, const fleet::WorkerId &worker);
void removeWorker(WorkerLinks &links, const fleet::WorkerId &worker);

/// Queues a command. One to an unknown worker is dropped.
void addCommand(WorkerLinks &links, const scheduler::WorkerCommand &command);

/// The messages to send now, at most one a worker.
std::vector<WorkerMessage> beginMessages(WorkerLinks &links, fleet::FencingToken fence, fleet::TimePoint now);

/// Notes the end of the message under way and returns when it was sent. `answered` is false where no answer came;
/// the commands of that message are not repeated here.
fleet::TimePoint endMessage(WorkerLinks &links, const fleet::WorkerId &worker, bool answered, bool hasTasks);

/// True where every worker has answered at least once.
bool haveAllWorkersReported(const WorkerLinks &links);

}

#endif
