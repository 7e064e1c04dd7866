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

/// What the journal adds up to. Applying a record twice changes nothing, so that a writer may apply its own records
/// before it reads them back.
struct JournalState
{
    std::unordered_map<jobs::JobId, JobRecord> m_jobs;
    std::map<fleet::InstanceId, InstanceRecord> m_instances;
    HolderRecord m_holder;
    std::vector<FormerHolder> m_formerHolders;
    /// Machines that went down for their upkeep, by wave.
    std::map<std::uint64_t, std::set<fleet::MachineId>> m_upkeeps;
    /// Jobs by the time they ended, for forgetting them.
    std::multimap<fleet::TimePoint, jobs::JobId> m_ended;

    bool operator==(const JournalState &) const = default;
};

void apply(JournalState &state, const Record &record, Changes &changes);

const JobRecord *findJob(const JournalState &state, jobs::JobId id);

/// Drops jobs that ended before `time` and of which no run is open.
void forgetEnded(JournalState &state, fleet::TimePoint time);

}

#endif
