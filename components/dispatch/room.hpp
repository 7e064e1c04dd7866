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
    /// The worker failed what it started last. It gets one run at a time until one lives past its first moments.
    bool m_isOnTrial = false;
    bool m_hasTrialRun = false;
};

using Rooms = std::vector<Room>;

}

#endif
