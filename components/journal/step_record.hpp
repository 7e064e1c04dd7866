#ifndef COMPONENTS_JOURNAL_STEP_RECORD_HPP
#define COMPONENTS_JOURNAL_STEP_RECORD_HPP

#include "components/journal/task_record.hpp"

#include <cereal/types/map.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace journal
{

/// State of one step of one occurrence according to the journal. Takes as much memory as the step has open runs and idle tasks, however many
/// tasks it has in all.
struct StepRecord
{
    std::uint16_t m_taskCount = 0;
    /// Tasks from this one on have never had a run.
    std::uint16_t m_firstNewTask = 0;
    /// The tasks before it, but for those that are done and have no open run.
    std::map<std::uint16_t, TaskRecord> m_tasks;
    /// Number of the tasks in m_tasks that are idle.
    std::uint16_t m_idleTasks = 0;
    std::uint32_t m_doneTasks = 0;
    /// Highest run number so far, also of runs that never began.
    std::uint32_t m_lastRun = 0;
    /// Gangs only: number of failed runs, and the run number of the last one.
    std::uint32_t m_gangFailures = 0;
    std::uint32_t m_lastFailedRun = 0;
    /// Gangs only: the checkpoint that all members share, and the number of the run that wrote it.
    std::string m_checkpoint;
    std::uint32_t m_checkpointRun = 0;

    bool operator==(const StepRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_taskCount, m_firstNewTask, m_tasks, m_idleTasks, m_doneTasks, m_lastRun, m_gangFailures, m_lastFailedRun);
        archive(m_checkpoint, m_checkpointRun);
    }

    bool isDone() const
    {
        return m_doneTasks == m_taskCount;
    }

    /// True if the task is done, whether it still has an open run or not.
    bool isDone(std::uint16_t task) const
    {
        const auto found = m_tasks.find(task);
        return found == m_tasks.end() ? task < m_firstNewTask : found->second.m_isDone;
    }

    /// Number of tasks that are neither done nor have an open run.
    std::uint32_t startableTasks() const
    {
        return std::uint32_t {m_taskCount} - m_firstNewTask + m_idleTasks;
    }
};

}

#endif
