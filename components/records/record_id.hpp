#ifndef COMPONENTS_RECORDS_RECORD_ID_HPP
#define COMPONENTS_RECORDS_RECORD_ID_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"

#include <compare>
#include <cstdint>

namespace records
{

/// Identifies the writer of a record: one incarnation of one instance.
struct WriterId
{
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;

    auto operator<=>(const WriterId &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_instance, m_incarnation);
    }
};

/// Unique id of a record. A writer appends its records in the order of their counters, so that a reader that has
/// applied one record of a writer never needs any with a lower counter.
struct RecordId
{
    WriterId m_writer;
    /// Counts the writer's records from 1.
    std::uint64_t m_counter = 0;

    auto operator<=>(const RecordId &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_writer, m_counter);
    }
};

}

#endif
