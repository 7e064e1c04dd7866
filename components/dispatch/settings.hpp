#ifndef COMPONENTS_DISPATCH_SETTINGS_HPP
#define COMPONENTS_DISPATCH_SETTINGS_HPP

#include "components/fleet/time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace dispatch
{

/// Settings of the scheduling duty: bounds of the deployment, and times that follow from them.
struct Settings
{
    /// Maximum lease that a worker grants.
    fleet::Duration m_leaseLimit {6000};
    /// Maximum time from a stop order until the run is over.
    fleet::Duration m_stopGrace {200};
    /// How long the members of a gang wait on their workers for the others.
    fleet::Duration m_gangWait {3000};
    /// Guaranteed capacity is provided within this time after it is requested.
    fleet::Duration m_reclaimLimit {2700};
    /// A run that resumes from a checkpoint works again after this time.
    fleet::Duration m_restoreTime {600};
    /// How long the upkeep of a machine takes.
    fleet::Duration m_upkeepTime {2000};
    /// A new holder sends no upkeep order within this time, since orders of the previous holder may still be under way.
    fleet::Duration m_machineLease {3000};
    /// How long a holder may renew leases after it last reached the store. The sum of this and the lease is the longest store outage
    /// that runs survive, and the time that a successor waits for workers that do not answer.
    fleet::Duration m_holderAuthority {4000};

    /// Maximum number of open runs, to which most of the memory of a holder goes; see openRunsWithin().
    std::size_t m_maxOpenRuns = openRunsWithin(120);

    /// Returns how many open runs a holder with this much memory can keep.
    static constexpr std::size_t openRunsWithin(std::int64_t memoryMb)
    {
        constexpr std::int64_t runsPerMb = 128;
        return static_cast<std::size_t>(memoryMb * runsPerMb);
    }

    /// Decisions use the run times learned from earlier runs. They are learned in any case.
    bool m_usesLearnedRunTimes = true;

    /// How long a worker waits for a run to end before it answers a poll. A quarter of the lease leaves time for a lost poll and the
    /// next one; workers wait no longer than maxPollWait.
    fleet::Duration pollWait() const
    {
        constexpr fleet::Duration maxPollWait {1500};
        constexpr int leaseDivisor = 4;
        return std::min(maxPollWait, m_leaseLimit / leaseDivisor);
    }

    /// Lease that a start order grants; short, so that an order without an answer is resolved early.
    fleet::Duration startLease() const
    {
        constexpr fleet::Duration maxStartLease {3000};
        return std::min(maxStartLease, m_leaseLimit / 2);
    }

    /// Maximum duration of a lease on this machine's clock: a worker's clock may run 2% slow, and the order takes time to arrive.
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
