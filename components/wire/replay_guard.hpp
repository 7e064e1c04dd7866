#ifndef COMPONENTS_WIRE_REPLAY_GUARD_HPP
#define COMPONENTS_WIRE_REPLAY_GUARD_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"

#include <bitset>
#include <cstdint>
#include <map>

namespace wire
{

struct Envelope;

/// How far behind the highest sequence a message may arrive and still be accepted.
constexpr std::size_t replayWindow = 4096;

/// Sequences accepted from the present incarnation of one sender.
struct SenderWindow
{
    fleet::Incarnation m_incarnation;
    std::uint64_t m_highest = 0;
    /// Bit i tells that m_highest - i was accepted.
    std::bitset<replayWindow> m_accepted;
};

/// Remembers which messages were accepted. Datagrams and connections need a guard and a counter of their own each, since
/// one may fall far behind the other.
struct ReplayGuard
{
    std::map<fleet::InstanceId, SenderWindow> m_senders;
};

/// True exactly once for each message; false for repeated ones, for those too old to tell, and for those of an earlier
/// incarnation of the sender.
bool accept(ReplayGuard &guard, const Envelope &envelope);

}

#endif
