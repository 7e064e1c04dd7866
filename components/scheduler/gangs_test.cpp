#include "components/scheduler/state.hpp"
#include "components/scheduler/step.hpp"

#include <algorithm>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

constexpr fleet::TimePoint start {1'000'000s};
const fleet::JobId job("job");

/// Two workers of one accelerator each and a gang of two tasks, for which Reserve was sent at `start`.
struct Zone
{
    scheduler::State m_state;
    std::vector<scheduler::Action> m_actions;

    Zone()
    {
        m_state.m_settings.m_policy = scheduler::Policy::FirstFitFifo;
        m_state.m_settings.m_leaseLength = 10s;
        m_state.m_settings.m_renewInterval = 3s;
        for (const char *name : {"w0", "w1"}) {
            apply(scheduler::WorkerListed {{fleet::WorkerId(name), fleet::ZoneId("z"), fleet::RackId("r"), {1000, 1000, 1}}}, start);
        }
        apply(scheduler::StartsAllowed {true}, start);
        fleet::JobSpec spec;
        spec.m_id = job;
        spec.m_shape = {2, {100, 100, 1}, fleet::Adjacency::SameRack};
        apply(scheduler::JobArrived {spec}, start);
    }

    void apply(const scheduler::Event &event, fleet::TimePoint now)
    {
        m_actions = scheduler::step(m_state, event, now);
    }

    void report(const char *worker, int task, scheduler::TaskPhase phase, fleet::TimePoint now, int attempt = 1)
    {
        apply(scheduler::WorkerReported {fleet::WorkerId(worker), {{{job, attempt, task}, phase}}, now}, now);
    }

    void runBoth()
    {
        report("w0", 0, scheduler::TaskPhase::Reserved, start + 1ms);
        report("w1", 1, scheduler::TaskPhase::Reserved, start + 1ms);
        report("w0", 0, scheduler::TaskPhase::Running, start + 2ms);
        report("w1", 1, scheduler::TaskPhase::Running, start + 2ms);
    }

    auto count(scheduler::CommandKind kind) const
    {
        return std::count_if(m_actions.begin(), m_actions.end(), [kind](const scheduler::Action &action) {
            const auto *command = std::get_if<scheduler::WorkerCommand>(&action);
            return command != nullptr && command->m_kind == kind;
        });
    }

    template<class Kind>
    const Kind *find() const
    {
        for (const scheduler::Action &action : m_actions) {
            if (const auto *found = std::get_if<Kind>(&action)) {
                return found;
            }
        }
        return nullptr;
    }
};

}

Test(gangs, oneOfTwoReserved_start_isHeldBack)
{
    Zone zone;
    cr_assert_eq(zone.count(scheduler::CommandKind::Reserve), 2);
    zone.report("w0", 0, scheduler::TaskPhase::Reserved, start + 1ms);
    cr_assert_eq(zone.count(scheduler::CommandKind::Start), 0);
    zone.report("w1", 1, scheduler::TaskPhase::Reserved, start + 1ms);
    cr_assert_eq(zone.count(scheduler::CommandKind::Start), 2);
    cr_assert(zone.find<scheduler::AttemptStarted>() != nullptr);
}

Test(gangs, oneRefused_otherTask_isStopped)
{
    Zone zone;
    zone.report("w0", 0, scheduler::TaskPhase::Reserved, start + 1ms);
    zone.report("w1", 1, scheduler::TaskPhase::Refused, start + 1ms);
    cr_assert_eq(zone.count(scheduler::CommandKind::Stop), 1);
    cr_assert_eq(zone.count(scheduler::CommandKind::Start), 0);
}

Test(gangs, oneWorkerRemovedWhileRunning_retry_waitsForTheOtherLease)
{
    Zone zone;
    zone.runBoth();
    zone.apply(scheduler::WorkerRemoved {fleet::WorkerId("w1")}, start + 3ms);
    cr_assert_eq(zone.count(scheduler::CommandKind::Stop), 1);
    cr_assert(zone.find<scheduler::AttemptEnded>() == nullptr);
    zone.report("w0", 0, scheduler::TaskPhase::Stopped, start + 4ms);
    cr_assert(zone.find<scheduler::AttemptEnded>() != nullptr);
    cr_assert_eq(zone.count(scheduler::CommandKind::Forget), 1);
}

Test(gangs, oneWorkerUnresponsiveAfterRenewal_noTask_isRenewedAgain)
{
    Zone zone;
    zone.runBoth();
    zone.apply(scheduler::Tick {}, start + 3100ms);
    cr_assert_eq(zone.count(scheduler::CommandKind::Renew), 2);
    zone.report("w0", 0, scheduler::TaskPhase::Running, start + 3200ms);
    zone.apply(scheduler::Tick {}, start + 6200ms);
    cr_assert_eq(zone.count(scheduler::CommandKind::Renew), 0);
    zone.apply(scheduler::Tick {}, start + 10100ms);
    cr_assert_eq(zone.count(scheduler::CommandKind::Stop), 2);
}

Test(gangs, bothSucceeded_job_isDone)
{
    Zone zone;
    zone.runBoth();
    zone.report("w0", 0, scheduler::TaskPhase::Succeeded, start + 5ms);
    cr_assert(zone.find<scheduler::JobEnded>() == nullptr);
    zone.report("w1", 1, scheduler::TaskPhase::Succeeded, start + 5ms);
    cr_assert(zone.find<scheduler::JobEnded>()->m_outcome == scheduler::JobOutcome::Done);
    cr_assert_eq(zone.count(scheduler::CommandKind::Forget), 2);
}

Test(gangs, cancelledWhileReserving_job_endsOnlyWhenLeasesAreOver)
{
    Zone zone;
    zone.apply(scheduler::JobCancelRequested {job}, start + 1ms);
    cr_assert_eq(zone.count(scheduler::CommandKind::Stop), 2);
    cr_assert(zone.find<scheduler::JobEnded>() == nullptr);
    zone.apply(scheduler::Tick {}, start + 13s);
    cr_assert(zone.find<scheduler::JobEnded>()->m_outcome == scheduler::JobOutcome::Cancelled);
}

Test(gangs, startsDisallowedWhileReserving_reservations_areStopped)
{
    Zone zone;
    zone.apply(scheduler::StartsAllowed {false}, start + 1ms);
    cr_assert_eq(zone.count(scheduler::CommandKind::Stop), 2);
    zone.report("w0", 0, scheduler::TaskPhase::Reserved, start + 2ms);
    zone.report("w1", 1, scheduler::TaskPhase::Reserved, start + 2ms);
    cr_assert_eq(zone.count(scheduler::CommandKind::Start), 0);
}

Test(gangs, runningGangFoundByNewHolder_leases_areRenewedAsOneGang)
{
    Zone zone;
    scheduler::State holder;
    for (const char *name : {"w0", "w1"}) {
        scheduler::step(holder, scheduler::WorkerListed {{fleet::WorkerId(name), fleet::ZoneId("z"), fleet::RackId("r"), {1000, 1000, 1}}}, start);
    }
    scheduler::step(holder, scheduler::JobArrived {zone.m_state.m_jobs.at(job).m_spec, 1}, start);
    zone.m_state = holder;
    zone.report("w0", 0, scheduler::TaskPhase::Running, start + 1s);
    zone.apply(scheduler::Tick {}, start + 1s);
    cr_assert_eq(zone.count(scheduler::CommandKind::Renew), 0);
    zone.report("w1", 1, scheduler::TaskPhase::Running, start + 2s);
    zone.apply(scheduler::Tick {}, start + 2s);
    cr_assert_eq(zone.count(scheduler::CommandKind::Renew), 2);
}
