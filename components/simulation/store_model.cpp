#include "components/simulation/store_model.hpp"

#include <algorithm>

namespace simulation
{

namespace
{

/// Number of latest appends of a producer whose retries get the original answer.
constexpr std::size_t rememberedAppends = 5;
/// Maximum bytes of a record.
constexpr std::size_t recordBytes = 262'144;

store::AppendResult refuse(store::AppendOutcome outcome, std::uint64_t end, std::uint64_t expected = 0)
{
    store::AppendResult result;
    result.m_outcome = outcome;
    result.m_end = end;
    result.m_expected = expected;
    return result;
}

}

store::AppendResult append(StoreModel &model, const store::AppendCall &call)
{
    TopicState &topic = model.m_topics[call.m_topic];
    const std::uint64_t end = topic.m_records.size();
    const bool isAnyTooLarge = std::any_of(call.m_records.begin(), call.m_records.end(), [](const std::string &record) {
        return record.size() > recordBytes;
    });
    if (isAnyTooLarge) {
        // The refusal names no reason that the protocol knows.
        return refuse(store::AppendOutcome::Unknown, end);
    }
    ProducerState *producer = nullptr;
    if (call.m_producer) {
        producer = &topic.m_producers[call.m_producer->m_name];
        if (call.m_producer->m_epoch < producer->m_epoch) {
            return refuse(store::AppendOutcome::Fenced, end);
        }
        const bool isNewEpoch = call.m_producer->m_epoch > producer->m_epoch;
        const auto past = std::find_if(producer->m_recentAppends.begin(), producer->m_recentAppends.end(), [&](const PastAppend &append) {
            return append.m_sequence == call.m_producer->m_sequence;
        });
        if (!isNewEpoch && past != producer->m_recentAppends.end()) {
            return past->m_result;
        }
        if (!isNewEpoch && producer->m_hasAppended && call.m_producer->m_sequence != producer->m_nextSequence) {
            return refuse(store::AppendOutcome::OutOfSequence, end, producer->m_nextSequence);
        }
        if (isNewEpoch) {
            *producer = ProducerState();
            producer->m_epoch = call.m_producer->m_epoch;
        }
    }
    if (call.m_requiredEnd && *call.m_requiredEnd != end) {
        return refuse(store::AppendOutcome::EndMoved, end);
    }
    topic.m_records.insert(topic.m_records.end(), call.m_records.begin(), call.m_records.end());
    topic.m_keys.insert(topic.m_keys.end(), call.m_keys.begin(), call.m_keys.end());
    store::AppendResult result;
    result.m_outcome = store::AppendOutcome::Stored;
    result.m_first = end;
    result.m_end = topic.m_records.size();
    if (producer != nullptr) {
        producer->m_hasAppended = true;
        producer->m_nextSequence = call.m_producer->m_sequence + 1;
        producer->m_recentAppends.push_back({call.m_producer->m_sequence, result});
        if (producer->m_recentAppends.size() > rememberedAppends) {
            producer->m_recentAppends.erase(producer->m_recentAppends.begin());
        }
    }
    return result;
}

store::ReadResult read(const StoreModel &model, const store::ReadCall &call)
{
    store::ReadResult result;
    result.m_outcome = store::ReadOutcome::Read;
    result.m_from = call.m_from;
    const auto found = model.m_topics.find(call.m_topic);
    if (found == model.m_topics.end()) {
        return result;
    }
    const TopicState &topic = found->second;
    result.m_end = topic.m_records.size();
    result.m_oldest = topic.m_oldest;
    if (call.m_from < topic.m_oldest) {
        result.m_outcome = store::ReadOutcome::Expired;
        return result;
    }
    if (call.m_from < topic.m_records.size()) {
        result.m_records.assign(topic.m_records.begin() + static_cast<std::ptrdiff_t>(call.m_from), topic.m_records.end());
    }
    return result;
}

std::vector<store::KeyedRecord> newest(const StoreModel &model, const store::Topic &topic)
{
    std::map<std::string, store::KeyedRecord> byKey;
    const auto found = model.m_topics.find(topic);
    if (found != model.m_topics.end()) {
        for (std::size_t i = 0; i < found->second.m_records.size(); ++i) {
            byKey[found->second.m_keys[i]] = {found->second.m_keys[i], found->second.m_records[i], i};
        }
    }
    std::vector<store::KeyedRecord> records;
    records.reserve(byKey.size());
    for (auto &[key, record] : byKey) {
        records.push_back(std::move(record));
    }
    return records;
}

void expire(StoreModel &model, const store::Topic &topic, std::uint64_t before)
{
    TopicState &state = model.m_topics[topic];
    state.m_oldest = std::max<std::uint64_t>(state.m_oldest, std::min<std::uint64_t>(before, state.m_records.size()));
}

}
