#ifndef COMPONENTS_JOURNAL_LAUNCH_HPP
#define COMPONENTS_JOURNAL_LAUNCH_HPP

#include "components/jobs/run_id.hpp"
#include "components/workers/worker_incarnation.hpp"

namespace journal
{

/// A run that may exist on its target worker once the record is stored.
struct Launch
{
    jobs::RunId m_run;
    workers::WorkerIncarnation m_target;

    bool operator==(const Launch &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_run, m_target);
    }
};

}

#endif
