#ifndef COMPONENTS_JOURNAL_ENDED_RUN_HPP
#define COMPONENTS_JOURNAL_ENDED_RUN_HPP

#include "components/jobs/run_end.hpp"
#include "components/jobs/run_id.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <string>

namespace journal
{

/// A run that has ended for certain.
struct EndedRun
{
    jobs::RunId m_run;
    workers::WorkerIncarnation m_target;
    jobs::RunEnd m_end = jobs::RunEnd::Done;
    /// Checkpoint that the next run may resume from; empty if there is none.
    std::string m_checkpoint;

    bool operator==(const EndedRun &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_run, m_target, m_end, m_checkpoint);
    }
};

}

#endif
