#ifndef COMPONENTS_JOURNAL_RUNS_LAUNCHED_HPP
#define COMPONENTS_JOURNAL_RUNS_LAUNCHED_HPP

#include "components/journal/launch.hpp"

#include <vector>

namespace journal
{

/// Stored before the first order to start one of the runs is sent, so that the next holder knows of each.
struct RunsLaunched
{
    std::vector<Launch> m_launches;

    bool operator==(const RunsLaunched &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_launches);
    }
};

}

#endif
