#include "components/dispatch/rack_preference.hpp"

#include "components/dispatch/available_workers.hpp"
#include "components/dispatch/candidate.hpp"
#include "components/dispatch/waiting_step.hpp"

#include <cstdint>

namespace dispatch
{

namespace
{

/// How long a gang waits for one rack while it would fit in several. Its tasks take several times as long there, so that a wait pays.
/// It counts as lost if nothing of it runs for 3 s on a fleet with enough room; half of that leaves time to store and send its start.
constexpr fleet::Duration oneRackWait {1500};

}

void giveUpOneRack(Candidate &candidate)
{
    candidate.m_requiresOneRack = false;
    candidate.m_joinedRack = fleet::RackId();
}

bool canARackHold(const Candidate &candidate, const std::map<fleet::WorkerId, WorkerState> &workers, fleet::BootTime now)
{
    std::map<fleet::RackId, std::uint32_t> slots;
    for (const auto &[id, worker] : workers) {
        if (!worker.m_isListed || !isSuitable(candidate, worker, now)) {
            continue;
        }
        std::uint32_t &inRack = slots[worker.m_registration.m_rack];
        inRack += countSlots(candidate, worker, worker.m_registration.m_capacity);
        if (inRack >= candidate.m_tasks.size()) {
            return true;
        }
    }
    return false;
}

void recordFitInSeveralRacks(WaitingStep &waiting, bool fits, fleet::BootTime now)
{
    if (fits && waiting.m_fitsSeveralRacksAt) {
        waiting.m_fitSeveralRacksFor += now - *waiting.m_fitsSeveralRacksAt;
    }
    waiting.m_fitsSeveralRacksAt = fits ? std::optional(now) : std::nullopt;
}

bool hasWaitedForOneRack(const WaitingStep &waiting)
{
    return waiting.m_fitSeveralRacksFor >= oneRackWait;
}

}
