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

#include <map>
#include <set>
#include <vector>

namespace dispatch
{

/// What the parts of one step of the scheduler share.
struct Context
{
    State &m_state;
    journal::JournalState &m_ledger;
    const catalog::Catalog &m_catalog;
    const std::set<fleet::ZoneId> &m_zonesOut;
    const std::map<std::string, catalog::UpkeepWave> &m_waves;
    fleet::Now m_now;
    /// Records of this step; they are applied to the ledger as they are made.
    std::vector<journal::EndedRun> m_ended;
    std::map<workers::WorkerIncarnation, std::uint64_t> m_endNumbers;
    std::vector<journal::Launch> m_launched;
    /// Jobs of which a run ended.
    std::set<jobs::JobId> m_touched;
    Outbox m_out;
};

}

#endif
