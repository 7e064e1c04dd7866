#ifndef COMPONENTS_DISPATCH_SETTINGS_HPP
#define COMPONENTS_DISPATCH_SETTINGS_HPP

#include "components/fleet/time.hpp"

namespace dispatch
{

/// Times of the scheduling duty. The defaults of the first four are bounds of the deployment and come from its settings.
struct Settings
{
    /// Longest lease that a worker grants.
    fleet::Duration m_leaseLimit {6000};
    /// Longest time from an order to stop until the run is over.
    fleet::Duration m_stopGrace {200};
    /// How long the members of a gang wait on their workers for the others.
    fleet::Duration m_gangWait {3000};
    /// Guaranteed capacity is there within this time from when it is asked for.
    fleet::Duration m_reclaimLimit {2700};
    /// How long a worker waits for an end before it answers a look. At most a third of the lease, so that one lost
    /// look does not end the runs.
    fleet::Duration m_pollWait {1500};
    /// Lease that an order to start gives; short, so that an order without an answer is settled early.
    fleet::Duration m_startLease {3000};
    /// A new holder gives no order for a machine within this time, since those of the holder before may be under way.
    fleet::Duration m_machineLease {3000};
    /// How long a holder may go on renewing leases after it last reached the store. With the lease it makes up the store
    /// outage that runs outlive, and the time that a successor waits for workers that do not answer.
    fleet::Duration m_holderAuthority {4000};

    /// The longest that a lease lasts by this machine's clock: a worker's may run 2% slow, and the order needs its way.
    fleet::Duration longestLease() const
    {
        constexpr int numerator = 103;
        constexpr int denominator = 100;
        return m_leaseLimit * numerator / denominator;
    }

    bool operator==(const Settings &) const = default;
};

}

#endif
