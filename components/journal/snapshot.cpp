#include "components/journal/snapshot.hpp"

#include "components/journal/job_record_v1.hpp"
#include "components/wire/codec.hpp"

#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>

#include <algorithm>
#include <map>

namespace journal
{

namespace
{

constexpr std::uint8_t formatVersion = 1;
/// Version of the journal state in a snapshot. Snapshots of version 1 are read too.
constexpr std::uint8_t bodyVersion = 2;
/// Maximum snapshot bytes in one record, below the store's own limit.
constexpr std::size_t partBytes = std::size_t {128} * 1024;
constexpr const char *headKey = "head";
/// One for the newest snapshot, one that a former holder may still have under way, and one for the first snapshot of the next holder.
constexpr unsigned slotCount = 3;

/// The stored form of a journal state. Uses ordered maps, so that equal states give equal bytes.
template<class StoredJob>
struct Body
{
    std::uint64_t m_next = 0;
    std::map<jobs::JobId, StoredJob> m_jobs;
    std::map<fleet::InstanceId, InstanceRecord> m_instances;
    HolderRecord m_holder;
    std::vector<FormerHolder> m_formerHolders;
    std::map<std::uint64_t, std::set<fleet::MachineId>> m_upkeeps;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_next, m_jobs, m_instances, m_holder, m_formerHolders, m_upkeeps);
    }
};

/// Names the slot that holds the newest snapshot and how many parts it has.
struct Head
{
    std::uint32_t m_slot = 0;
    std::uint32_t m_parts = 0;
    std::uint64_t m_next = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_slot, m_parts, m_next);
    }
};

/// One part of a snapshot. m_next distinguishes it from a part of another snapshot in the same slot.
struct Part
{
    std::uint64_t m_next = 0;
    std::string m_bytes;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_next, m_bytes);
    }
};

std::string partKey(std::uint32_t slot, std::uint32_t part)
{
    return "part/" + std::to_string(slot) + '/' + std::to_string(part);
}

JournalState toJournalState(Body<JobRecord> body)
{
    JournalState state;
    for (auto &[id, job] : body.m_jobs) {
        if (job.isOver()) {
            state.m_newlyEnded.push_back(id);
        }
        state.m_jobs.emplace(id, std::move(job));
    }
    state.m_instances = std::move(body.m_instances);
    state.m_holder = body.m_holder;
    state.m_formerHolders = std::move(body.m_formerHolders);
    state.m_upkeeps = std::move(body.m_upkeeps);
    return state;
}

Body<JobRecord> decodeBody(const std::string &bytes)
{
    const bool isOfVersion1 = !bytes.empty() && static_cast<std::uint8_t>(bytes.front()) == formatVersion;
    if (!isOfVersion1) {
        return wire::decode<Body<JobRecord>>(bodyVersion, bytes);
    }
    auto stored = wire::decode<Body<JobRecordV1>>(formatVersion, bytes);
    Body<JobRecord> body {stored.m_next, {}, std::move(stored.m_instances), stored.m_holder, std::move(stored.m_formerHolders), std::move(stored.m_upkeeps)};
    for (auto &[id, job] : stored.m_jobs) {
        body.m_jobs.emplace(id, toJobRecord(std::move(job)));
    }
    return body;
}

std::optional<std::string> joinParts(const std::map<std::string, const store::KeyedRecord *> &records, const Head &head)
{
    std::string bytes;
    for (std::uint32_t i = 0; i < head.m_parts; ++i) {
        const auto found = records.find(partKey(head.m_slot, i));
        if (found == records.end()) {
            return std::nullopt;
        }
        const Part part = wire::decode<Part>(formatVersion, found->second->m_value);
        if (part.m_next != head.m_next) {
            return std::nullopt;
        }
        bytes += part.m_bytes;
    }
    return bytes;
}

}

unsigned nextSlot(unsigned slot)
{
    return (slot + 1) % slotCount;
}

std::vector<store::KeyedRecord> encodeSnapshot(const JournalState &state, std::uint64_t next, unsigned slot)
{
    Body<JobRecord> body;
    body.m_next = next;
    body.m_jobs.insert(state.m_jobs.begin(), state.m_jobs.end());
    body.m_instances = state.m_instances;
    body.m_holder = state.m_holder;
    body.m_formerHolders = state.m_formerHolders;
    body.m_upkeeps = state.m_upkeeps;
    const std::string bytes = wire::encode(bodyVersion, body);
    Head head {slot, 0, next};
    std::vector<store::KeyedRecord> records;
    for (std::size_t from = 0; from < bytes.size(); from += partBytes) {
        const Part part {next, bytes.substr(from, partBytes)};
        records.push_back({partKey(slot, head.m_parts++), wire::encode(formatVersion, part), 0});
    }
    records.push_back({headKey, wire::encode(formatVersion, head), 0});
    return records;
}

std::optional<unsigned> newestSlot(const std::vector<store::KeyedRecord> &records)
{
    const auto head = std::find_if(records.begin(), records.end(), [](const store::KeyedRecord &record) {
        return record.m_key == headKey;
    });
    if (head == records.end()) {
        return std::nullopt;
    }
    try {
        return wire::decode<Head>(formatVersion, head->m_value).m_slot;
    } catch (const wire::CodecError &) {
        return std::nullopt;
    }
}

std::optional<Snapshot> assembleSnapshot(const std::vector<store::KeyedRecord> &records)
{
    std::map<std::string, const store::KeyedRecord *> byKey;
    for (const store::KeyedRecord &record : records) {
        byKey[record.m_key] = &record;
    }
    const auto head = byKey.find(headKey);
    if (head == byKey.end()) {
        return std::nullopt;
    }
    try {
        const Head decoded = wire::decode<Head>(formatVersion, head->second->m_value);
        const auto bytes = joinParts(byKey, decoded);
        if (!bytes) {
            return std::nullopt;
        }
        Body<JobRecord> body = decodeBody(*bytes);
        const std::uint64_t next = body.m_next;
        return Snapshot {toJournalState(std::move(body)), next};
    } catch (const wire::CodecError &) {
        return std::nullopt;
    }
}

}
