#ifndef COMPONENTS_INSTANCE_DUTY_HPP
#define COMPONENTS_INSTANCE_DUTY_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>

namespace instance
{

enum class DutyPhase : std::uint8_t {
    /// Another instance, or nobody, schedules the zone.
    None,
    /// A claim is on its way into the log.
    Claiming,
    /// The claim is the zone's latest; the workers' leases are being read.
    TakingOver,
    /// This instance schedules the zone.
    Holding,
};

/// This instance's part in the scheduling duty of its zone.
struct Duty
{
    DutyPhase m_phase = DutyPhase::None;
    /// Set from TakingOver on.
    fleet::FencingToken m_token;
    /// When the claim was folded here.
    fleet::TimePoint m_claimedAt;
    /// Last time that the log was read or a peer of the zone was heard.
    fleet::TimePoint m_authorityAt;

    bool operator==(const Duty &) const = default;
};

/// What the decision to claim the duty rests on. Who is alive is a belief; safety rests on the token.
struct DutyView
{
    /// The zone's latest claim in the log names an instance that is believed to be alive and not leaving.
    bool m_holderServes = false;
    /// This instance comes first by name among the zone's instances that are alive and not leaving.
    bool m_isFirst = false;
    bool m_stopping = false;
    bool m_logReachable = false;

    bool operator==(const DutyView &) const = default;
};

bool shouldClaim(const Duty &duty, const DutyView &view);

/// The latest claim of the zone is this incarnation's, at the log offset `token`.
void takeOver(Duty &duty, fleet::FencingToken token, fleet::TimePoint now);

/// Another claim came later, or a worker has seen a higher token.
void loseDuty(Duty &duty);

/// Ends the take-over once every worker has answered, or after so long that the earlier holder's leases have lapsed.
/// Returns true where the phase changed.
bool finishTakeOver(Duty &duty, bool everyWorkerRead, fleet::Duration earlierLeases, fleet::TimePoint now);

/// True where this instance may start tasks and renew leases.
bool hasAuthority(const Duty &duty, fleet::Duration holderAuthority, fleet::TimePoint now);

}

#endif
