#ifndef COMPONENTS_JOURNAL_TASK_RECORD_HPP
#define COMPONENTS_JOURNAL_TASK_RECORD_HPP

#include "components/journal/open_run.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace journal
{

/// State of one task that has had a run, according to the journal.
struct TaskRecord
{
    /// Highest run number so far; the next run gets a higher one.
    std::uint32_t m_lastRun = 0;
    /// Number of failed runs.
    std::uint32_t m_failures = 0;
    bool m_isDone = false;
    /// At most one, except where speculative runs are allowed.
    std::vector<OpenRun> m_open;
    /// Empty for the tasks of gangs, which share that of their step.
    std::string m_checkpoint;
    /// Runs with the current number that never began. Their launch records are ignored when they are read again.
    std::vector<OpenRun> m_neverBegan;

    /// True if the task waits for a further run.
    bool isIdle() const
    {
        return !m_isDone && m_open.empty();
    }

    bool operator==(const TaskRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_lastRun, m_failures, m_isDone, m_open, m_checkpoint, m_neverBegan);
    }
};

}

#endif
