#ifndef COMPONENTS_SIMULATION_FAULTS_HPP
#define COMPONENTS_SIMULATION_FAULTS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/simulation/store_mode.hpp"

#include <map>
#include <set>
#include <utility>

namespace simulation
{

/// Faults that are injected at present.
struct Faults
{
    StoreMode m_store = StoreMode::Available;
    /// Instances whose calls the store does not answer, and instances whose calls it refuses.
    std::set<int> m_cutFromStore;
    std::set<int> m_refusedByStore;
    /// Share (0 to 1) of appends that are carried out but not answered. If delayed, they are carried out seconds later.
    double m_unansweredAppends = 0;
    bool m_unansweredAppendsAreDelayed = false;
    /// Most records that a read from an offset returns; 0 if there is no limit.
    std::size_t m_recordsPerRead = 0;
    /// The store leaves reads of what the operators set without an answer.
    bool m_areOperatorReadsUnanswered = false;
    /// Processing time of the store for one call.
    fleet::Duration m_storeDelay {4};
    /// Workers that no instance can reach.
    std::set<fleet::WorkerId> m_unreachableWorkers;
    /// Zones partitioned from the others: no datagrams and no calls to workers cross their boundaries.
    std::set<fleet::ZoneId> m_partitionedZones;
    /// Workers that a certain instance cannot reach.
    std::set<std::pair<int, fleet::WorkerId>> m_unreachableFrom;
    /// Workers that do not reach the store, so that their entries of the worker list are written once they do.
    std::set<fleet::WorkerId> m_workersCutFromStore;
    /// Share (0 to 1) of orders to workers that are not answered and are carried out seconds later.
    double m_delayedOrders = 0;
    /// Share (0 to 1) of polls that are not answered and have their effects seconds later, with the lease and the acknowledgement that they
    /// carried when they were sent.
    double m_delayedPolls = 0;
    /// Share (0 to 1) of orders and polls that are carried out at once and are not answered, and share of those that are carried out again
    /// seconds later.
    double m_unansweredOrders = 0;
    double m_repeatedOrders = 0;
    /// The next orders to start a run that throw in the instance which sends them, as an error in its code would.
    int m_throwingStarts = 0;
    /// The next appends, reads and datagrams of all instances that throw where they are sent.
    int m_throwingAppends = 0;
    int m_throwingReads = 0;
    int m_throwingDatagrams = 0;
    /// The next answers to callers that throw.
    int m_throwingReplies = 0;
    /// The advice service does not answer.
    bool m_isAdviceUnavailable = false;
    /// Share (0 to 1) of upkeep orders that are carried out but not answered.
    double m_unansweredUpkeeps = 0;
    /// How much later these are carried out.
    fleet::Duration m_upkeepDelay {0};
    /// The machine service refuses upkeep orders.
    bool m_areUpkeepsRefused = false;
    /// How far the time of day of instances is ahead of the others'.
    std::map<int, fleet::Duration> m_clockOffsets;
    /// Share (0 to 1) of datagrams that are lost.
    double m_lostDatagrams = 0;
};

}

#endif
