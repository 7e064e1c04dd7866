#ifndef COMPONENTS_FLEET_STREAM_POSITION_HPP
#define COMPONENTS_FLEET_STREAM_POSITION_HPP

#include <cstdint>

namespace fleet
{

/// Advances the state built from a stream past `offset` and records where reading began or that records in between were missed.
///
/// `State` has m_started, m_start, m_next, m_complete and m_waiting. A gap makes it incomplete until a snapshot is applied.
template<class State>
void recordOffset(State &state, std::uint64_t offset)
{
    if (!state.m_started) {
        state.m_started = true;
        state.m_start = offset;
        state.m_complete = offset == 0;
    } else if (offset > state.m_next) {
        state.m_start = offset;
        state.m_complete = false;
        state.m_waiting.clear();
    }
    state.m_next = offset + 1;
}

}

#endif
