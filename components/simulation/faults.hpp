#ifndef COMPONENTS_SIMULATION_FAULTS_HPP
#define COMPONENTS_SIMULATION_FAULTS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/simulation/store_mode.hpp"

#include <set>

namespace simulation
{

/// What goes wrong at present.
struct Faults
{
    StoreMode m_store = StoreMode::Available;
    /// Instances that the store leaves without answers, and those that it turns away.
    std::set<int> m_cutFromStore;
    std::set<int> m_refusedByStore;
    /// Share of appends that are done and not answered; with a delay they are done seconds later.
    double m_unansweredAppends = 0;
    bool m_unansweredAppendsAreDelayed = false;
    /// Time that the store takes for a call.
    fleet::Duration m_storeDelay {4};
    /// Workers that no instance reaches.
    std::set<fleet::WorkerId> m_cutWorkers;
    /// Zones partitioned from the others: no datagrams and no calls to workers pass their borders.
    std::set<fleet::ZoneId> m_cutZones;
    /// Share of orders that are not answered and carried out seconds later.
    double m_delayedOrders = 0;
    /// The advice service does not answer.
    bool m_isAdviceUnavailable = false;
    /// Share of orders for machines that are carried out and not answered.
    double m_unansweredUpkeeps = 0;
    /// Share of datagrams that are lost.
    double m_lostDatagrams = 0;
};

}

#endif
