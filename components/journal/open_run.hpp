#ifndef COMPONENTS_JOURNAL_OPEN_RUN_HPP
#define COMPONENTS_JOURNAL_OPEN_RUN_HPP

#include "components/workers/worker_incarnation.hpp"

#include <cstdint>

namespace journal
{

/// A run that was launched and is not known to have ended.
struct OpenRun
{
    std::uint32_t m_run = 0;
    workers::WorkerIncarnation m_target;

    bool operator==(const OpenRun &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_run, m_target);
    }
};

}

#endif
