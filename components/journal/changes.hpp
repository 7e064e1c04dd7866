#ifndef COMPONENTS_JOURNAL_CHANGES_HPP
#define COMPONENTS_JOURNAL_CHANGES_HPP

#include "components/jobs/job_id.hpp"

#include <vector>

namespace journal
{

/// What applying records changed in a journal state.
struct Changes
{
    std::vector<jobs::JobId> m_accepted;
    std::vector<jobs::JobId> m_cancelled;
    /// Every job that a record changed, in the order of the records.
    std::vector<jobs::JobId> m_changed;
    bool m_holderChanged = false;
    bool m_instanceStarted = false;
    bool m_snapshotWritten = false;

    bool operator==(const Changes &) const = default;
};

}

#endif
