#ifndef COMPONENTS_DUTY_EVENTS_HPP
#define COMPONENTS_DUTY_EVENTS_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/records/holder.hpp"

#include <variant>
#include <vector>

namespace duty
{

/// The holder of this zone's duty according to the log. Sent after every read that reached the end of the log.
struct HolderRead
{
    records::Holder m_holder;
    /// When the read was requested. The time of the response is not used, because the response may have waited in a paused
    /// process.
    fleet::TimePoint m_requestSentAt;
};

/// State of the other instances of this zone, from membership.
struct PeersChanged
{
    /// True if the holder is suspected, leaving, gone or a different incarnation than the one that claimed the duty.
    bool m_holderUnfit = false;
    /// Rank of this instance among the zone's fit candidates, from 0.
    int m_rank = 0;
    /// Time at which every other instance of the zone was certainly reachable; if the zone has no other, any instance.
    fleet::TimePoint m_allPeersHeardAt;
    /// Highest token of this zone that this instance has read or another one has reported.
    fleet::FencingToken m_highestToken;
};

/// The workers of the zone in the platform's list, without the removed ones.
struct WorkersListed
{
    std::vector<fleet::WorkerId> m_workers;
};

/// A worker answered a command message that carried the token.
struct WorkerAnswered
{
    fleet::WorkerId m_worker;
    fleet::FencingToken m_token;
};

/// A worker refused a message because it has received a higher token.
struct WorkerRefused
{
    fleet::WorkerId m_worker;
    fleet::FencingToken m_highest;
};

/// The planned stop has begun.
struct StopRequested
{
};

struct Tick
{
};

using Event = std::variant<HolderRead, PeersChanged, WorkersListed, WorkerAnswered, WorkerRefused, StopRequested, Tick>;

}

#endif
