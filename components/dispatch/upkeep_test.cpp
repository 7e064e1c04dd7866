#include "components/dispatch/upkeep.hpp"

#include "components/dispatch/context.hpp"

#include <chrono>
#include <map>
#include <set>
#include <string>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

constexpr fleet::Now now {fleet::BootTime(100s), fleet::TimePoint(1000s)};

/// A wave with one machine that is ordered down, and the machine's idle worker.
struct UpkeepFixture
{
    UpkeepFixture()
    {
        m_order.m_wave = 4;
        m_order.m_machine = fleet::MachineId("m");
        m_worker.m_isListed = true;
        m_worker.m_registration.m_machine = m_order.m_machine;
        m_upkeep.m_phase = dispatch::UpkeepPhase::Ordered;
        m_upkeep.m_isOrderOpen = true;
    }

    void answerBegun()
    {
        dispatch::Context context {m_state, m_journalState, m_catalog, m_zonesOut, m_waves, now, {}, {}, {}, {}, {}, {}, {}};
        dispatch::applyUpkeepResult(context, m_order, machines::UpkeepOutcome::Begun);
    }

    machines::UpkeepOrder m_order;
    dispatch::State m_state;
    dispatch::WorkerState &m_worker = m_state.m_workers[fleet::WorkerId("w")];
    dispatch::MachineUpkeep &m_upkeep = m_state.m_waves[4].m_machines[fleet::MachineId("m")];
    journal::JournalState m_journalState;
    catalog::Catalog m_catalog;
    std::set<fleet::ZoneId> m_zonesOut;
    std::map<std::string, catalog::UpkeepWave> m_waves;
};

}

/// The answer cleared a probe that was due for another reason, such as ends to be reported or a zone to be probed.
Test(upkeep, upkeepBegins_probeThatWasDueIsKept)
{
    UpkeepFixture fixture;
    fixture.m_worker.m_isProbeDue = true;
    fixture.answerBegun();
    cr_assert(fixture.m_upkeep.m_phase == dispatch::UpkeepPhase::Down);
    cr_assert(fixture.m_worker.m_isProbeDue);
}

/// Without a probe, a machine that an earlier order took down and that is back already would be waited for.
Test(upkeep, upkeepMayHaveBegunBefore_workerIsProbed)
{
    UpkeepFixture fixture;
    fixture.m_upkeep.m_mayHaveBegun = true;
    fixture.answerBegun();
    cr_assert(fixture.m_worker.m_isProbeDue);
}

/// The machine goes down, so a probe of it would only time out.
Test(upkeep, upkeepBeginsWithItsFirstOrder_workerIsNotProbed)
{
    UpkeepFixture fixture;
    fixture.answerBegun();
    cr_assert_not(fixture.m_worker.m_isProbeDue);
}
