#ifndef COMPONENTS_DUTY_SETTINGS_HPP
#define COMPONENTS_DUTY_SETTINGS_HPP

#include "components/fleet/time.hpp"

namespace duty
{

/// Times of the scheduling duty. They must be equal on all instances of a site.
struct Settings
{
    /// How long a holder without contact to the log or the other instances continues to start tasks and renew leases.
    fleet::Duration m_holderAuthority = std::chrono::seconds(15);
    /// Maximum length of a lease that a holder grants.
    fleet::Duration m_lease = std::chrono::seconds(10);
    /// How long a holder must be unfit before it is replaced. Gives a new instance time to receive heartbeats of the others.
    fleet::Duration m_claimDelay = std::chrono::seconds(3);
    /// Additional delay of a claim for every fit candidate with a lower rank.
    fleet::Duration m_claimDelayPerRank = std::chrono::seconds(1);
    /// A claim that was not read back from the log within this time is repeated.
    fleet::Duration m_claimTimeout = std::chrono::seconds(5);
    /// Interval at which the raise of the token is repeated to a worker that has not answered.
    fleet::Duration m_raiseInterval = std::chrono::seconds(1);
};

}

#endif
