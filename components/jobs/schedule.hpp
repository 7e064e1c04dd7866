#ifndef COMPONENTS_JOBS_SCHEDULE_HPP
#define COMPONENTS_JOBS_SCHEDULE_HPP

#include "components/fleet/time.hpp"

#include <cstdint>

namespace jobs
{

/// When the steps of a job run. Occurrence K is due at m_firstDue + K * m_interval.
struct Schedule
{
    /// 0 for a job that runs once, as soon as possible.
    std::uint32_t m_occurrences = 0;
    fleet::TimePoint m_firstDue;
    fleet::Duration m_interval {0};

    bool operator==(const Schedule &) const = default;

    bool isTimed() const
    {
        return m_occurrences > 0;
    }

    fleet::TimePoint dueTime(std::uint32_t occurrence) const
    {
        return m_firstDue + occurrence * m_interval;
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_occurrences);
        fleet::serializeTime(archive, m_firstDue);
        fleet::serializeDuration(archive, m_interval);
    }
};

}

#endif
