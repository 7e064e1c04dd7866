#ifndef COMPONENTS_JOURNAL_RUNS_LAUNCHED_HPP
#define COMPONENTS_JOURNAL_RUNS_LAUNCHED_HPP

#include "components/journal/launch.hpp"

#include <vector>

namespace journal
{

/// Runs that are about to start. Stored before the first start order for any of them is sent, so that the next holder finds
/// every run in the journal.
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
