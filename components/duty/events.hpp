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

/// The log says who holds the duty of this zone. Sent after every read that reached the end of the log.
struct HolderRead
{
    records::Holder m_holder;
    /// When the read was asked for. A read that waited in a paused process proves nothing about the present.
    fleet::TimePoint m_requestSentAt;
};

/// What the members of this zone say, from membership.
struct PeersChanged
{
    /// True where the holder is suspected, leaving, gone or another incarnation than the one that claimed.
    bool m_holderUnfit = false;
    /// Place of this instance among the zone's fit candidates, from 0.
    int m_rank = 0;
    /// Time at which every other instance of the zone was certainly reachable; where there is no other, any instance.
    fleet::TimePoint m_allPeersHeardAt;
    /// Highest token of this zone that any peer knows.
    fleet::FencingToken m_highestToken;
};

/// The zone's workers that are listed, without the removed ones.
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

/// A worker refused a message since it has seen a higher token.
struct WorkerRefused
{
    fleet::WorkerId m_worker;
    fleet::FencingToken m_highest;
};

/// The planned stop began.
struct StopRequested
{
};

struct Tick
{
};

using Event = std::variant<HolderRead, PeersChanged, WorkersListed, WorkerAnswered, WorkerRefused, StopRequested, Tick>;

}

#endif
