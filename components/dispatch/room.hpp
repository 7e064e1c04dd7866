#ifndef COMPONENTS_DISPATCH_ROOM_HPP
#define COMPONENTS_DISPATCH_ROOM_HPP

#include "components/dispatch/hold.hpp"
#include "components/fleet/resources.hpp"

#include <vector>

namespace dispatch
{

struct WorkerState;

/// What one worker has free for new runs.
struct Room
{
    WorkerState *m_worker = nullptr;
    fleet::Resources m_free;
    /// What is kept of it for steps.
    std::vector<Hold> m_holds;
};

using Rooms = std::vector<Room>;

}

#endif
