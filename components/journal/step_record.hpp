#ifndef COMPONENTS_JOURNAL_STEP_RECORD_HPP
#define COMPONENTS_JOURNAL_STEP_RECORD_HPP

#include "components/journal/task_record.hpp"

#include <cstdint>
#include <vector>

namespace journal
{

/// State of one step of one occurrence according to the journal.
struct StepRecord
{
    std::vector<TaskRecord> m_tasks;
    std::uint32_t m_doneTasks = 0;
    /// Gangs only: number of failed runs, and the run number of the last one.
    std::uint32_t m_gangFailures = 0;
    std::uint32_t m_lastFailedRun = 0;
    /// Gangs only: number of the run that wrote the checkpoint.
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
