#include "components/node/worker_list_view.hpp"

#include <algorithm>
#include <iterator>

namespace node
{

bool applyWorkerListRead(WorkerListView &view, const workers::WorkerListRead &read, fleet::BootTime sentAt, fleet::BootTime now)
{
    if (view.m_readSentAt != sentAt) {
        return false;
    }
    view.m_readSentAt.reset();
    if (read.m_outcome == store::ReadOutcome::Expired) {
        view.m_position.m_next.reset();
        view.m_nextReadAt = now;
    }
    if (read.m_outcome != store::ReadOutcome::Read) {
        return false;
    }
    if (read.m_isFullRead) {
        view.m_registrations.clear();
    }
    for (const workers::WorkerListChange &change : read.m_changes) {
        if (change.m_registration) {
            view.m_registrations[change.m_worker] = *change.m_registration;
        } else {
            view.m_registrations.erase(change.m_worker);
        }
    }
    const bool hasAdvanced = store::recordKeyedAnswer(view.m_position, read.m_isFullRead, sentAt, read.m_end, read.m_next);
    if (store::isBehind(view.m_position)) {
        view.m_nextReadAt = now;
    }
    return hasAdvanced;
}

std::vector<workers::Registration> registrationsOf(const WorkerListView &view)
{
    std::vector<workers::Registration> registrations;
    registrations.reserve(view.m_registrations.size());
    std::transform(view.m_registrations.begin(), view.m_registrations.end(), std::back_inserter(registrations), [](const auto &entry) {
        return entry.second;
    });
    return registrations;
}

}
