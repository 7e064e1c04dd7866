#include "components/scheduler/state.hpp"
#include "components/scheduler/status.hpp"
#include "components/scheduler/step.hpp"

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

constexpr fleet::TimePoint start {1'000'000s};
constexpr fleet::Resources whole {4000, 4000, 4};
const fleet::Shape pair {2, {2000, 2000, 2}, fleet::Adjacency::SameWorker};
const fleet::JobId job("job");

/// Two workers. Account "b" is guaranteed one of them, and a job of account "a" runs on it.
struct Zone
{
    scheduler::State m_state;

    Zone()
    {
        for (const char *name : {"w0", "w1"}) {
            scheduler::step(m_state, scheduler::WorkerListed {{fleet::WorkerId(name), fleet::ZoneId("z"), fleet::RackId("r"), whole}}, start);
        }
        scheduler::step(m_state, scheduler::StartsAllowed {true}, start);
        guarantee({}, {pair});
        scheduler::step(m_state, scheduler::JobArrived {makeSpec(job, "a")}, start);
        for (const auto phase : {scheduler::TaskPhase::Reserved, scheduler::TaskPhase::Running}) {
            scheduler::step(m_state, scheduler::WorkerReported {fleet::WorkerId("w0"), {{{job, 1, 0}, phase}, {{job, 1, 1}, phase}}, start + 1s}, start + 1s);
        }
    }

    static fleet::JobSpec makeSpec(const fleet::JobId &id, const char *account)
    {
        fleet::JobSpec spec;
        spec.m_id = id;
        spec.m_account = fleet::AccountId(account);
        spec.m_shape = pair;
        return spec;
    }

    void guarantee(const std::vector<fleet::Shape> &a, const std::vector<fleet::Shape> &b)
    {
        const fleet::Resources quota {8000, 8000, 8};
        scheduler::step(m_state, scheduler::PolicyChanged {{{fleet::AccountId("a"), a, quota}, {fleet::AccountId("b"), b, quota}}}, start + 2s);
        scheduler::step(m_state, scheduler::Tick {}, start + 2s);
    }

    const scheduler::Attempt &attempt() const
    {
        return *m_state.m_jobs.at(job).m_attempt;
    }
};

}

Test(covered, gangOnAnotherAccountsSlot_newGuarantee_doesNotCoverItThere)
{
    Zone zone;
    zone.guarantee({pair}, {pair});
    cr_assert_eq(zone.attempt().m_slot, scheduler::noSlot);
    for (const placement::Node &node : zone.m_state.m_guarantees.m_unreservedCapacity.m_nodes) {
        cr_assert(fleet::Resources {}.fitsIn(node.m_free));
    }
}

Test(covered, otherGuaranteeDropped_runningGang_isCoveredWhereItRuns)
{
    Zone zone;
    zone.guarantee({pair}, {});
    cr_assert_neq(zone.attempt().m_slot, scheduler::noSlot);
    cr_assert((scheduler::accountStatuses(zone.m_state, start).front().m_covered == whole));
}

Test(covered, ownWorkerFree_guaranteedJob_preemptsNoGang)
{
    Zone zone;
    scheduler::step(zone.m_state, scheduler::JobArrived {Zone::makeSpec(fleet::JobId("ask"), "b")}, start + 3s);
    cr_assert(zone.attempt().m_phase == scheduler::AttemptPhase::Running);
    cr_assert(zone.m_state.m_jobs.at(fleet::JobId("ask")).m_attempt.has_value());
}

Test(covered, jobOfUnknownAccount_explain_saysAccountIsNotConfigured)
{
    Zone zone;
    scheduler::step(zone.m_state, scheduler::JobArrived {Zone::makeSpec(fleet::JobId("ask"), "stranger")}, start + 3s);
    cr_assert_eq(scheduler::explain(zone.m_state, fleet::JobId("ask"), start + 3s), "Waits because its account is not configured.");
}
