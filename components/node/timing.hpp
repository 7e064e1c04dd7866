#ifndef COMPONENTS_NODE_TIMING_HPP
#define COMPONENTS_NODE_TIMING_HPP

#include "components/fleet/time.hpp"

namespace node
{

struct Settings;

/// Times of an instance that follow from the bounds of its deployment. What one of them requires of another is said here, and
/// deriveTiming() keeps it for all bounds that the settings accept.
struct Timing
{
    /// How long a read of what the operators set waits in the store for a change. The store answers after this time even if there
    /// is no change, and the copy is then as old as the wait. It is at most two waits old before the next answer.
    fleet::Duration m_operatorReadWait;
    /// The copy is never this old while the store answers, since this exceeds two waits. An instance with an older copy takes no
    /// new connections and accepts no jobs.
    fleet::Duration m_maxConfirmationAge;
    /// Beyond this age the copy does not show that a key or a queue is unknown: the operators may have added it meanwhile.
    fleet::Duration m_maxAgeToDeny;
    /// Beyond this age no key is accepted, since the operators may have revoked it.
    fleet::Duration m_maxAgeToAllow;

    bool operator==(const Timing &) const = default;
};

/// Shortest bound for a change by the operators that an instance can meet: two reads, each with its way to the store and back.
constexpr fleet::Duration minOperatorChangeBound {600};
/// Margin between the age up to which the copy is used to check keys and the bound for accepting revoked keys.
constexpr fleet::Duration revocationMargin {500};

Timing deriveTiming(const Settings &settings);

}

#endif
