#ifndef COMPONENTS_DUTY_SETTINGS_HPP
#define COMPONENTS_DUTY_SETTINGS_HPP

#include "components/fleet/time.hpp"

namespace duty
{

/// Times of the scheduling duty. All instances of a site must have the same ones.
struct Settings
{
    /// How long a holder that hears nothing goes on starting and renewing.
    fleet::Duration m_holderAuthority = std::chrono::seconds(15);
    /// Longest lease that a holder grants.
    fleet::Duration m_lease = std::chrono::seconds(10);
    /// An unfit holder is replaced once it was unfit for this long; a new instance hears the others meanwhile.
    fleet::Duration m_claimDelay = std::chrono::seconds(3);
    /// Wait before a claim for every candidate that goes before this one.
    fleet::Duration m_claimDelayPerRank = std::chrono::seconds(1);
    /// A claim that was not folded after this long is made again.
    fleet::Duration m_claimTimeout = std::chrono::seconds(5);
    /// A worker that has not answered to a raise of the token is asked again after this long.
    fleet::Duration m_raiseInterval = std::chrono::seconds(1);
};

}

#endif
