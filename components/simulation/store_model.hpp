#ifndef COMPONENTS_SIMULATION_STORE_MODEL_HPP
#define COMPONENTS_SIMULATION_STORE_MODEL_HPP

#include "components/store/append_call.hpp"
#include "components/store/append_result.hpp"
#include "components/store/keyed_record.hpp"
#include "components/store/read_call.hpp"
#include "components/store/read_result.hpp"
#include "components/store/topic.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace simulation
{

/// A past append of a producer, kept to answer a retry with the same result.
struct PastAppend
{
    std::uint64_t m_sequence = 0;
    store::AppendResult m_result;
};

/// State of one producer of a topic.
struct ProducerState
{
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextSequence = 0;
    bool m_hasAppended = false;
    std::vector<PastAppend> m_recentAppends;
};

struct TopicState
{
    std::vector<std::string> m_records;
    std::vector<std::string> m_keys;
    /// Records before this offset have expired.
    std::uint64_t m_oldest = 0;
    std::map<std::string, ProducerState> m_producers;
};

/// Model of the platform's log store with the published behaviour: fenced and conditional appends, reads from an offset,
/// newest record of each key.
struct StoreModel
{
    std::map<store::Topic, TopicState> m_topics;
};

store::AppendResult append(StoreModel &model, const store::AppendCall &call);
store::ReadResult read(const StoreModel &model, const store::ReadCall &call);
std::vector<store::KeyedRecord> newest(const StoreModel &model, const store::Topic &topic);
/// Expires the records of a topic before the offset.
void expire(StoreModel &model, const store::Topic &topic, std::uint64_t before);

}

#endif
