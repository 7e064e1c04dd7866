#ifndef COMPONENTS_JOURNAL_JOURNAL_STATE_HPP
#define COMPONENTS_JOURNAL_JOURNAL_STATE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/journal/former_holder.hpp"
#include "components/journal/holder_record.hpp"
#include "components/journal/instance_record.hpp"
#include "components/journal/job_record.hpp"
#include "components/journal/record.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace journal
{

struct Changes;

/// The state that results from applying all records of the journal. Applying a record twice changes nothing, so that a writer may
/// apply its own records before it reads them back.
struct JournalState
{
    std::unordered_map<jobs::JobId, JobRecord> m_jobs;
    std::map<fleet::InstanceId, InstanceRecord> m_instances;
    HolderRecord m_holder;
    std::vector<FormerHolder> m_formerHolders;
    /// Machines that were taken down for their upkeep, by wave.
    std::map<std::uint64_t, std::set<fleet::MachineId>> m_upkeeps;
    /// Ended jobs by end time, for forgetEnded().
    std::multimap<fleet::TimePoint, jobs::JobId> m_ended;

    bool operator==(const JournalState &) const = default;
};

void apply(JournalState &state, const Record &record, Changes &changes);

const JobRecord *findJob(const JournalState &state, jobs::JobId id);

/// Removes jobs that ended before `time` and have no open runs.
void forgetEnded(JournalState &state, fleet::TimePoint time);

}

#endif
