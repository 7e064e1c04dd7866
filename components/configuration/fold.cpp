#include "components/configuration/fold.hpp"

#include "components/configuration/apply.hpp"
#include "components/fleet/stream_position.hpp"
#include "components/wire/codec_error.hpp"

#include <algorithm>
#include <utility>

namespace configuration
{

namespace
{

/// Takes over the snapshot's configuration. False where the one in force is later, which never reverts.
bool replaceConfiguration(State &state, const Snapshot &snapshot)
{
    if (snapshot.m_configuration.m_version < state.m_configuration.m_version) {
        return false;
    }
    state.m_configuration = snapshot.m_configuration;
    return true;
}

void startFrom(State &state, const Snapshot &snapshot)
{
    if (!replaceConfiguration(state, snapshot)) {
        return;
    }
    state.m_complete = true;
    for (const WaitingChange &waiting : std::exchange(state.m_waiting, {})) {
        if (waiting.m_offset >= snapshot.m_end) {
            apply(state.m_configuration, waiting.m_change);
        }
    }
}

std::optional<ChangeResult> foldRecord(State &state, std::uint64_t offset, fleet::TimePoint, const Change &change)
{
    if (!state.m_complete) {
        state.m_waiting.push_back({offset, change});
        return std::nullopt;
    }
    return apply(state.m_configuration, change);
}

std::optional<ChangeResult> foldRecord(State &state, std::uint64_t offset, fleet::TimePoint at, const Snapshot &snapshot)
{
    if (snapshot.m_end > offset) {
        ++state.m_skipped;
        return std::nullopt;
    }
    if (!state.m_complete && snapshot.m_end >= state.m_start) {
        startFrom(state, snapshot);
    }
    if (!state.m_snapshotAt || snapshot.m_end >= state.m_snapshotEnd) {
        state.m_snapshotEnd = snapshot.m_end;
        state.m_snapshotAt = at;
    }
    return std::nullopt;
}

}

std::optional<ChangeResult> fold(State &state, std::uint64_t offset, fleet::TimePoint at, std::string_view bytes)
{
    if (state.m_started && offset < state.m_next) {
        return std::nullopt;
    }
    fleet::recordOffset(state, offset);
    try {
        const Record record = decodeRecord(bytes);
        return std::visit(
            [&](const auto &value) {
                return foldRecord(state, offset, at, value);
            },
            record);
    } catch (const wire::CodecError &) {
        ++state.m_skipped;
        return std::nullopt;
    }
}

Snapshot makeSnapshot(const State &state)
{
    return {state.m_next, state.m_configuration};
}

void adopt(State &state, const Snapshot &snapshot)
{
    if (state.m_started && snapshot.m_end <= state.m_next) {
        return;
    }
    if (!replaceConfiguration(state, snapshot)) {
        return;
    }
    state.m_started = true;
    state.m_complete = true;
    state.m_start = snapshot.m_end;
    state.m_next = snapshot.m_end;
    state.m_waiting.clear();
}

}
