#include "components/instance/worker_links.hpp"

#include <algorithm>
#include <utility>

namespace instance
{

namespace
{

bool isDue(const WorkerLinks &links, const WorkerLink &link, fleet::TimePoint now)
{
    if (link.m_inFlight) {
        return false;
    }
    const fleet::Duration poll = link.m_hasTasks || !link.m_hasReported ? links.m_busyPoll : links.m_idlePoll;
    return !link.m_queued.empty() || now >= link.m_sentAt + poll;
}

}

void addWorker(WorkerLinks &links, const fleet::WorkerId &worker)
{
    links.m_links.try_emplace(worker);
}

void removeWorker(WorkerLinks &links, const fleet::WorkerId &worker)
{
    links.m_links.erase(worker);
}

void addCommand(WorkerLinks &links, const scheduler::WorkerCommand &command)
{
    const auto found = links.m_links.find(command.m_worker);
    if (found != links.m_links.end()) {
        found->second.m_queued.push_back(command);
    }
}

std::vector<WorkerMessage> beginMessages(WorkerLinks &links, fleet::FencingToken fence, fleet::TimePoint now)
{
    std::vector<WorkerMessage> messages;
    for (auto &[worker, link] : links.m_links) {
        if (isDue(links, link, now)) {
            messages.push_back({worker, fence, std::exchange(link.m_queued, {})});
            link.m_inFlight = true;
            link.m_sentAt = now;
        }
    }
    return messages;
}

fleet::TimePoint endMessage(WorkerLinks &links, const fleet::WorkerId &worker, bool answered, bool hasTasks)
{
    const auto found = links.m_links.find(worker);
    if (found == links.m_links.end()) {
        return {};
    }
    WorkerLink &link = found->second;
    link.m_inFlight = false;
    if (answered) {
        link.m_hasReported = true;
        link.m_hasTasks = hasTasks;
    }
    return link.m_sentAt;
}

bool haveAllWorkersReported(const WorkerLinks &links)
{
    return std::all_of(links.m_links.begin(), links.m_links.end(), [](const auto &entry) {
        return entry.second.m_hasReported;
    });
}

}
