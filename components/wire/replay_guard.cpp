#include "components/wire/replay_guard.hpp"

#include "components/wire/envelope.hpp"

namespace wire
{

namespace
{

bool acceptSequence(SenderWindow &window, std::uint64_t sequence)
{
    if (sequence > window.m_highest) {
        const std::uint64_t step = sequence - window.m_highest;
        window.m_accepted = step >= replayWindow ? std::bitset<replayWindow>() : window.m_accepted << static_cast<std::size_t>(step);
        window.m_accepted.set(0);
        window.m_highest = sequence;
        return true;
    }
    const std::uint64_t behind = window.m_highest - sequence;
    if (sequence == 0 || behind >= replayWindow || window.m_accepted.test(static_cast<std::size_t>(behind))) {
        return false;
    }
    window.m_accepted.set(static_cast<std::size_t>(behind));
    return true;
}

}

bool accept(ReplayGuard &guard, const Envelope &envelope)
{
    SenderWindow &window = guard.m_senders[envelope.m_from];
    if (envelope.m_incarnation < window.m_incarnation) {
        return false;
    }
    if (envelope.m_incarnation > window.m_incarnation) {
        window = {envelope.m_incarnation, 0, {}};
    }
    return acceptSequence(window, envelope.m_sequence);
}

}
