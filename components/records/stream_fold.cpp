#include "components/records/stream_fold.hpp"

#include "components/fleet/stream_position.hpp"
#include "components/wire/codec.hpp"

#include <utility>

namespace records
{

namespace
{

constexpr std::uint8_t entryVersion = 1;

std::vector<RecordResult> applyBatch(Ledger &ledger, const Batch &batch, std::uint64_t offset, fleet::TimePoint at)
{
    std::vector<RecordResult> results;
    for (const Record &record : batch.m_records) {
        results.push_back(apply(ledger, record, offset, at));
    }
    forgetOld(ledger, at);
    return results;
}

std::vector<RecordResult> startFrom(State &state, const Snapshot &snapshot)
{
    state.m_ledger = snapshot.m_ledger;
    state.m_complete = true;
    std::vector<RecordResult> results;
    for (const WaitingBatch &waiting : std::exchange(state.m_waiting, {})) {
        if (waiting.m_offset >= snapshot.m_end) {
            const auto more = applyBatch(state.m_ledger, waiting.m_batch, waiting.m_offset, waiting.m_at);
            results.insert(results.end(), more.begin(), more.end());
        }
    }
    return results;
}

std::vector<RecordResult> foldEntry(State &state, std::uint64_t offset, fleet::TimePoint at, Batch &&batch)
{
    if (!state.m_complete) {
        state.m_waiting.push_back({offset, at, std::move(batch)});
        return {};
    }
    return applyBatch(state.m_ledger, batch, offset, at);
}

std::vector<RecordResult> foldEntry(State &state, std::uint64_t offset, fleet::TimePoint at, Snapshot &&snapshot)
{
    if (snapshot.m_end > offset) {
        ++state.m_skipped;
        return {};
    }
    std::vector<RecordResult> results;
    if (!state.m_complete && snapshot.m_end >= state.m_start) {
        results = startFrom(state, snapshot);
    }
    if (!state.m_snapshotAt || snapshot.m_end >= state.m_snapshotEnd) {
        state.m_snapshotEnd = snapshot.m_end;
        state.m_snapshotAt = at;
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

std::vector<RecordResult> fold(State &state, std::uint64_t offset, fleet::TimePoint at, std::string_view bytes)
{
    if (state.m_started && offset < state.m_next) {
        return {};
    }
    fleet::recordOffset(state, offset);
    try {
        Entry entry = decodeEntry(bytes);
        return std::visit(
            [&](auto &value) {
                return foldEntry(state, offset, at, std::move(value));
            },
            entry);
    } catch (const wire::CodecError &) {
        ++state.m_skipped;
        return {};
    }
}

Snapshot makeSnapshot(const State &state)
{
    return {state.m_next, state.m_ledger};
}

void adopt(State &state, const Snapshot &snapshot)
{
    if (state.m_started && snapshot.m_end <= state.m_next) {
        return;
    }
    state.m_ledger = snapshot.m_ledger;
    state.m_started = true;
    state.m_complete = true;
    state.m_start = snapshot.m_end;
    state.m_next = snapshot.m_end;
    state.m_waiting.clear();
}

}
