#ifndef COMPONENTS_JOURNAL_JOURNAL_STATE_HPP
#define COMPONENTS_JOURNAL_JOURNAL_STATE_HPP

#include "components/fleet/boot_time.hpp"
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
    /// Machines that were or may have been taken down for their upkeep, by wave.
    std::map<std::uint64_t, std::set<fleet::MachineId>> m_upkeeps;
    /// Jobs that ended since the last call of forgetEnded().
    std::vector<jobs::JobId> m_newlyEnded;
    /// The other ended jobs, and when forgetEnded() first saw that they had ended.
    std::multimap<fleet::BootTime, jobs::JobId> m_ended;

    bool operator==(const JournalState &) const = default;
};

void apply(JournalState &state, const Record &record, Changes &changes);

const JobRecord *findJob(const JournalState &state, jobs::JobId id);

/// Removes jobs without open runs whose end an earlier call saw, at least `retention` ago. The times at which the ends were recorded do
/// not count, since they come from the clocks of other instances.
void forgetEnded(JournalState &state, fleet::Duration retention, fleet::BootTime now);

}

#endif
