#include "components/instance/duty.hpp"

namespace instance
{

bool shouldClaim(const Duty &duty, const DutyView &view)
{
    return duty.m_phase == DutyPhase::None && !view.m_holderServes && view.m_isFirst && !view.m_stopping && view.m_logReachable;
}

void takeOver(Duty &duty, fleet::FencingToken token, fleet::TimePoint now)
{
    duty.m_phase = DutyPhase::TakingOver;
    duty.m_token = token;
    duty.m_claimedAt = now;
    duty.m_authorityAt = now;
}

void loseDuty(Duty &duty)
{
    duty.m_phase = DutyPhase::None;
}

bool finishTakeOver(Duty &duty, bool everyWorkerRead, fleet::Duration earlierLeases, fleet::TimePoint now)
{
    if (duty.m_phase != DutyPhase::TakingOver || (!everyWorkerRead && now < duty.m_claimedAt + earlierLeases)) {
        return false;
    }
    duty.m_phase = DutyPhase::Holding;
    return true;
}

bool hasAuthority(const Duty &duty, fleet::Duration holderAuthority, fleet::TimePoint now)
{
    return duty.m_phase == DutyPhase::Holding && now < duty.m_authorityAt + holderAuthority;
}

}
