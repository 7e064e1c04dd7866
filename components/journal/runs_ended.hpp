#ifndef COMPONENTS_JOURNAL_RUNS_ENDED_HPP
#define COMPONENTS_JOURNAL_RUNS_ENDED_HPP

#include "components/fleet/time.hpp"
#include "components/journal/ended_run.hpp"

#include <vector>

namespace journal
{

/// Runs that ended. Stored before the ends are acknowledged to the worker, which may then discard them.
struct RunsEnded
{
    std::vector<EndedRun> m_runs;
    fleet::TimePoint m_at;

    bool operator==(const RunsEnded &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_runs);
        fleet::serializeTime(archive, m_at);
    }
};

}

#endif
