#ifndef COMPONENTS_DISPATCH_CONTEXT_HPP
#define COMPONENTS_DISPATCH_CONTEXT_HPP

#include "components/catalog/catalog.hpp"
#include "components/catalog/upkeep_wave.hpp"
#include "components/dispatch/outbox.hpp"
#include "components/dispatch/state.hpp"
#include "components/fleet/now.hpp"
#include "components/journal/ended_run.hpp"
#include "components/journal/journal_state.hpp"
#include "components/journal/launch.hpp"
#include "components/journal/upkeep_ordered.hpp"

#include <map>
#include <set>
#include <vector>

namespace dispatch
{

/// State and output of the handling of one event, or of one scheduling cycle.
struct Context
{
    State &m_state;
    journal::JournalState &m_journalState;
    const catalog::Catalog &m_catalog;
    const std::set<fleet::ZoneId> &m_zonesOut;
    const std::map<std::string, catalog::UpkeepWave> &m_waves;
    fleet::Now m_now;
    /// Changes made while handling the event. They are applied to m_journalState as they are made and recorded in one batch.
    std::vector<journal::EndedRun> m_ended;
    /// Further launches in the journal of runs that it has closed and that turned out to be done. Recorded before the ends.
    std::vector<journal::Launch> m_reopened;
    std::map<workers::WorkerIncarnation, std::uint64_t> m_endNumbers;
    std::vector<journal::Launch> m_launched;
    std::vector<journal::UpkeepOrdered> m_orderedUpkeeps;
    /// Jobs, gangs and tasks whose runs may no longer be needed: jobs that changed as a whole, gangs with a run that ended or that are
    /// incomplete, and tasks that are done while other runs of them are open.
    std::set<jobs::JobId> m_changedJobs;
    std::set<jobs::StepId> m_changedGangs;
    std::set<jobs::TaskId> m_changedTasks;
    Outbox m_out;
};

}

#endif
