#ifndef COMPONENTS_JOURNAL_OCCURRENCE_RECORD_HPP
#define COMPONENTS_JOURNAL_OCCURRENCE_RECORD_HPP

#include "components/journal/step_record.hpp"

#include <cstdint>
#include <vector>

namespace journal
{

/// State of one occurrence of a job that is not done or still has an open run.
struct OccurrenceRecord
{
    std::vector<StepRecord> m_steps;
    std::uint32_t m_doneSteps = 0;

    bool operator==(const OccurrenceRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_steps, m_doneSteps);
    }
};

}

#endif
