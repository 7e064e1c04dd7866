#ifndef COMPONENTS_JOURNAL_LAUNCH_HPP
#define COMPONENTS_JOURNAL_LAUNCH_HPP

#include "components/jobs/run_id.hpp"
#include "components/workers/life.hpp"

namespace journal
{

/// A run that may exist on a worker from now on.
struct Launch
{
    jobs::RunId m_run;
    workers::Life m_on;

    bool operator==(const Launch &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_run, m_on);
    }
};

}

#endif
