#include "components/records/stream_reader.hpp"

#include "components/fleet/stream_position.hpp"
#include "components/wire/codec.hpp"

#include <utility>

namespace records
{

namespace
{

constexpr std::uint8_t entryVersion = 1;

std::vector<RecordResult> applyBatch(LogState &state, const Batch &batch, std::uint64_t offset, fleet::TimePoint at)
{
    std::vector<RecordResult> results;
    for (const Record &record : batch.m_records) {
        results.push_back(apply(state, record, offset, at));
    }
    forgetOld(state, at);
    return results;
}

std::vector<RecordResult> initializeFrom(StreamReader &reader, const Snapshot &snapshot)
{
    reader.m_state = snapshot.m_state;
    reader.m_complete = true;
    std::vector<RecordResult> results;
    for (const WaitingBatch &waiting : std::exchange(reader.m_waiting, {})) {
        if (waiting.m_offset >= snapshot.m_end) {
            const auto more = applyBatch(reader.m_state, waiting.m_batch, waiting.m_offset, waiting.m_at);
            results.insert(results.end(), more.begin(), more.end());
        }
    }
    return results;
}

std::vector<RecordResult> applyDecoded(StreamReader &reader, std::uint64_t offset, fleet::TimePoint at, Batch &&batch)
{
    if (!reader.m_complete) {
        reader.m_waiting.push_back({offset, at, std::move(batch)});
        return {};
    }
    return applyBatch(reader.m_state, batch, offset, at);
}

std::vector<RecordResult> applyDecoded(StreamReader &reader, std::uint64_t offset, fleet::TimePoint at, Snapshot &&snapshot)
{
    if (snapshot.m_end > offset) {
        ++reader.m_skipped;
        return {};
    }
    std::vector<RecordResult> results;
    if (!reader.m_complete && snapshot.m_end >= reader.m_start) {
        results = initializeFrom(reader, snapshot);
    }
    if (!reader.m_snapshotAt || snapshot.m_end >= reader.m_snapshotEnd) {
        reader.m_snapshotEnd = snapshot.m_end;
        reader.m_snapshotAt = at;
    }
    return results;
}

}

std::string encodeEntry(const Entry &entry)
{
    return wire::encode(entryVersion, entry);
}

Entry decodeEntry(std::string_view bytes)
{
    return wire::decode<Entry>(entryVersion, bytes);
}

std::vector<RecordResult> applyEntry(StreamReader &reader, std::uint64_t offset, fleet::TimePoint at, std::string_view bytes)
{
    if (reader.m_started && offset < reader.m_next) {
        return {};
    }
    fleet::recordOffset(reader, offset);
    try {
        Entry entry = decodeEntry(bytes);
        return std::visit(
            [&](auto &value) {
                return applyDecoded(reader, offset, at, std::move(value));
            },
            entry);
    } catch (const wire::CodecError &) {
        ++reader.m_skipped;
        return {};
    }
}

Snapshot makeSnapshot(const StreamReader &reader)
{
    return {reader.m_next, reader.m_state};
}

void adopt(StreamReader &reader, const Snapshot &snapshot)
{
    if (reader.m_started && snapshot.m_end <= reader.m_next) {
        return;
    }
    reader.m_state = snapshot.m_state;
    reader.m_started = true;
    reader.m_complete = true;
    reader.m_start = snapshot.m_end;
    reader.m_next = snapshot.m_end;
    reader.m_waiting.clear();
}

}
