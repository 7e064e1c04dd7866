#ifndef COMPONENTS_JOURNAL_TASK_RECORD_HPP
#define COMPONENTS_JOURNAL_TASK_RECORD_HPP

#include "components/journal/open_run.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace journal
{

/// What the journal says of one task.
struct TaskRecord
{
    /// Highest number of a run; the next run takes a higher one.
    std::uint32_t m_lastRun = 0;
    /// Runs that ended in failure.
    std::uint32_t m_failures = 0;
    bool m_isDone = false;
    /// At most one, but where copies are allowed.
    std::vector<OpenRun> m_open;
    std::string m_checkpoint;
    /// Runs of the present number that never began; their launches count no more.
    std::vector<OpenRun> m_neverBegan;

    bool operator==(const TaskRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_lastRun, m_failures, m_isDone, m_open, m_checkpoint, m_neverBegan);
    }
};

}

#endif
