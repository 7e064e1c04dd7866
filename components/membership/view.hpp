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

/// True where the member was not heard lately, directly or by relay.
bool isSuspected(const State &state, const Member &member, fleet::TimePoint now);

/// True where new work and duties may go to the member: live, not leaving by any source, and not suspected.
bool isFit(const State &state, const Member &member, fleet::TimePoint now);

/// The instances that may be asked, with the request ids that each dispatches; this one included.
std::vector<requests::Dispatcher> dispatchers(const State &state);

/// Number of instances that share the runners, this one included.
int countFitInstances(const State &state, fleet::TimePoint now);

/// What the duty slice has to know.
duty::PeersChanged dutyView(const State &state, const records::Holder &holder, fleet::TimePoint now);

/// The earliest of the times at which an instance of each other zone was certainly reachable; the present where there
/// is no other zone. A zone that is out counts too: an operator may still use its instances to take this one out.
fleet::TimePoint otherZonesHeardAt(const State &state, fleet::TimePoint now);

/// True where another instance has a later configuration; fetch it from there.
bool isBehind(const State &state);

/// Instances of the taken-out zone that may run and have not said that they know, this one left aside.
std::vector<fleet::InstanceId> unconfirmedInstances(const State &state, const TakeOut &takeOut);

/// True where every instance of the taken-out zone that may run has said that it knows, or the log has the change.
bool isConfirmed(const State &state, const configuration::ChangeId &takeOut);

/// Zones taken out by take-outs that are not in the log yet.
std::vector<fleet::ZoneId> provisionallyOut(const State &state);

/// Place of this instance among all fit ones by identifier, and their number: who writes snapshots first.
struct Rank
{
    std::uint64_t m_place = 0;
    std::uint64_t m_count = 1;
};

Rank rankAmongFit(const State &state, fleet::TimePoint now);

/// A fit instance that can take over the request ids, preferably of the same zone; empty where there is none.
fleet::InstanceId chooseSuccessor(const State &state, fleet::TimePoint now);

}

#endif
