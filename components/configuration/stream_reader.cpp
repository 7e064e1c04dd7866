#include "components/configuration/stream_reader.hpp"

#include "components/configuration/apply.hpp"
#include "components/fleet/stream_position.hpp"
#include "components/wire/codec_error.hpp"

#include <algorithm>
#include <utility>

namespace configuration
{

namespace
{

/// Replaces the configuration with that of the snapshot. Returns false and changes nothing if the snapshot's version is
/// lower: the version of a reader never decreases.
bool replaceConfiguration(StreamReader &reader, const Snapshot &snapshot)
{
    if (snapshot.m_configuration.m_version < reader.m_configuration.m_version) {
        return false;
    }
    reader.m_configuration = snapshot.m_configuration;
    return true;
}

void initializeFrom(StreamReader &reader, const Snapshot &snapshot)
{
    if (!replaceConfiguration(reader, snapshot)) {
        return;
    }
    reader.m_complete = true;
    for (const WaitingChange &waiting : std::exchange(reader.m_waiting, {})) {
        if (waiting.m_offset >= snapshot.m_end) {
            apply(reader.m_configuration, waiting.m_change);
        }
    }
}

std::optional<ChangeResult> applyDecoded(StreamReader &reader, std::uint64_t offset, fleet::TimePoint, const Change &change)
{
    if (!reader.m_complete) {
        reader.m_waiting.push_back({offset, change});
        return std::nullopt;
    }
    return apply(reader.m_configuration, change);
}

std::optional<ChangeResult> applyDecoded(StreamReader &reader, std::uint64_t offset, fleet::TimePoint at, const Snapshot &snapshot)
{
    if (snapshot.m_end > offset) {
        ++reader.m_skipped;
        return std::nullopt;
    }
    if (!reader.m_complete && snapshot.m_end >= reader.m_start) {
        initializeFrom(reader, snapshot);
    }
    if (!reader.m_snapshotAt || snapshot.m_end >= reader.m_snapshotEnd) {
        reader.m_snapshotEnd = snapshot.m_end;
        reader.m_snapshotAt = at;
    }
    return std::nullopt;
}

}

std::optional<ChangeResult> applyRecord(StreamReader &reader, std::uint64_t offset, fleet::TimePoint at, std::string_view bytes)
{
    if (reader.m_started && offset < reader.m_next) {
        return std::nullopt;
    }
    fleet::recordOffset(reader, offset);
    try {
        const Record record = decodeRecord(bytes);
        return std::visit(
            [&](const auto &value) {
                return applyDecoded(reader, offset, at, value);
            },
            record);
    } catch (const wire::CodecError &) {
        ++reader.m_skipped;
        return std::nullopt;
    }
}

Snapshot makeSnapshot(const StreamReader &reader)
{
    return {reader.m_next, reader.m_configuration};
}

void adopt(StreamReader &reader, const Snapshot &snapshot)
{
    if (reader.m_started && snapshot.m_end <= reader.m_next) {
        return;
    }
    if (!replaceConfiguration(reader, snapshot)) {
        return;
    }
    reader.m_started = true;
    reader.m_complete = true;
    reader.m_start = snapshot.m_end;
    reader.m_next = snapshot.m_end;
    reader.m_waiting.clear();
}

}
