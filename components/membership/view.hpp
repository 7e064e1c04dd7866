#ifndef COMPONENTS_MEMBERSHIP_VIEW_HPP
#define COMPONENTS_MEMBERSHIP_VIEW_HPP

#include "components/configuration/identifiers.hpp"
#include "components/duty/events.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/requests/routing.hpp"

#include <vector>

namespace records
{
struct Holder;
}

namespace membership
{

struct Member;
struct TakeOut;
struct State;

/// True if no information about the member has arrived lately, directly or by relay.
bool isSuspected(const State &state, const Member &member, fleet::TimePoint now);

/// True if the member may receive new work and duties: live, not leaving according to any source, and not suspected.
bool isFit(const State &state, const Member &member, fleet::TimePoint now);

/// Returns the instances that may be running, including this one, with the issuers of the request ids that each dispatches.
std::vector<requests::Dispatcher> dispatchers(const State &state);

/// Returns the number of fit instances, which share the runners, including this one.
int countFitInstances(const State &state, fleet::TimePoint now);

/// Returns the event that informs the duty component about the members.
duty::PeersChanged dutyView(const State &state, const records::Holder &holder, fleet::TimePoint now);

/// Returns the latest time at which every other zone had certainly been reachable: the earliest of the times at which an
/// instance of each other zone was last proven reachable; `now` if there is no other zone. A zone that is out of service
/// counts too, because an operator may still use its instances to take this zone out.
fleet::TimePoint otherZonesHeardAt(const State &state, fleet::TimePoint now);

/// True if another instance has a later configuration, which can be fetched from it.
bool isBehind(const State &state);

/// Returns the instances of the taken-out zone, except this one, that may be running and have not confirmed the take-out.
std::vector<fleet::InstanceId> unconfirmedInstances(const State &state, const TakeOut &takeOut);

/// True if every instance of the taken-out zone that may be running has confirmed the take-out, or the change is in the log.
bool isConfirmed(const State &state, const configuration::ChangeId &takeOut);

/// Returns the zones of the provisional take-outs, which are not known to be in the log.
std::vector<fleet::ZoneId> provisionallyOut(const State &state);

/// Rank of this instance among all fit ones, by identifier, and their number. Determines who writes snapshots first.
struct Rank
{
    std::uint64_t m_place = 0;
    std::uint64_t m_count = 1;
};

Rank rankAmongFit(const State &state, fleet::TimePoint now);

/// Returns a fit instance that can take over the request ids, preferably of the same zone; empty if there is none.
fleet::InstanceId chooseSuccessor(const State &state, fleet::TimePoint now);

}

#endif
