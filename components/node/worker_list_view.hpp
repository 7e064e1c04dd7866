#ifndef COMPONENTS_NODE_WORKER_LIST_VIEW_HPP
#define COMPONENTS_NODE_WORKER_LIST_VIEW_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/store/keyed_position.hpp"
#include "components/workers/registration.hpp"
#include "components/workers/worker_list_read.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace node
{

/// The holder's copy of the platform's list of workers.
struct WorkerListView
{
    std::map<fleet::WorkerId, workers::Registration> m_registrations;
    /// Entries that name no usable worker, and why.
    std::map<fleet::WorkerId, std::string> m_refusedEntries;
    store::KeyedPosition m_position;
    /// When the open read was sent; empty while none is open.
    std::optional<fleet::BootTime> m_readSentAt;
    fleet::BootTime m_nextReadAt;
};

/// Applies a read that was sent at `sentAt`. Answers to reads that a former view sent are ignored.
/// @return True if the view is complete as of a later time than before. In a view that is not, workers may be missing that are listed.
bool applyWorkerListRead(WorkerListView &view, const workers::WorkerListRead &read, fleet::BootTime sentAt, fleet::BootTime now);

std::vector<workers::Registration> registrationsOf(const WorkerListView &view);

}

#endif
