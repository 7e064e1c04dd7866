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

/// Messages are accepted out of order if their sequence number is less than this far behind the highest one accepted.
constexpr std::size_t replayWindow = 4096;

/// Sequence numbers accepted from the current incarnation of one sender.
struct SenderWindow
{
    fleet::Incarnation m_incarnation;
    std::uint64_t m_highest = 0;
    /// Bit i is set if m_highest - i was accepted.
    std::bitset<replayWindow> m_accepted;
};

/// Sequence numbers of the messages accepted so far, by sender. Datagrams and TCP connections each need their own guard and their
/// own counter of messages, because one of the two may lag far behind the other.
struct ReplayGuard
{
    std::map<fleet::InstanceId, SenderWindow> m_senders;
};

/// Records a message and returns true if it is new. Returns false for repeated messages, for those older than the window, and
/// for those from an earlier incarnation of the sender.
bool accept(ReplayGuard &guard, const Envelope &envelope);

}

#endif
