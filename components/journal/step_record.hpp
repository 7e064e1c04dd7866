#ifndef COMPONENTS_JOURNAL_STEP_RECORD_HPP
#define COMPONENTS_JOURNAL_STEP_RECORD_HPP

#include "components/journal/task_record.hpp"

#include <cstdint>
#include <vector>

namespace journal
{

/// What the journal says of one step of one occurrence.
struct StepRecord
{
    std::vector<TaskRecord> m_tasks;
    std::uint32_t m_doneTasks = 0;
    /// A gang's runs that ended in failure, and the number of the last of them.
    std::uint32_t m_gangFailures = 0;
    std::uint32_t m_lastFailedRun = 0;
    /// A gang's run that its checkpoint is from.
    std::uint32_t m_checkpointRun = 0;

    bool operator==(const StepRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_tasks, m_doneTasks, m_gangFailures, m_lastFailedRun, m_checkpointRun);
    }

    bool isDone() const
    {
        return m_doneTasks == m_tasks.size();
    }
};

}

#endif
