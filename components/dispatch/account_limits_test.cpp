#include "components/dispatch/account_limits.hpp"

#include "components/catalog/queue.hpp"
#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"
#include "components/jobs/step_spec.hpp"

#include <chrono>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

constexpr fleet::Now now {fleet::BootTime(100s), fleet::TimePoint(1000s)};
const fleet::AccountId account {"a"};

/// One account with a maximum, and a candidate of it.
struct LimitFixture
{
    LimitFixture()
    {
        m_catalog.m_accounts.push_back({account, {}, 0});
        m_catalog.m_accounts.back().m_maximum = {4000, 0, 8};
        m_candidate.m_spec = &m_spec;
        m_candidate.m_account = account;
        m_spec.m_perTask = {1000, 1000, 1};
        m_candidate.m_tasks = {0, 1, 2, 3, 4, 5};
        m_state.m_activeJobs[m_candidate.m_step.m_job] = now.m_boot;
    }

    std::size_t allowed()
    {
        dispatch::Context context {m_state, m_journalState, m_catalog, m_zonesOut, m_waves, now, {}, {}, {}, {}, {}, {}, {}};
        dispatch::Candidate candidate = m_candidate;
        dispatch::AccountBudgets budgets = dispatch::makeAccountBudgets(context, {candidate});
        dispatch::withholdTasks(context, budgets, candidate);
        return candidate.m_tasks.size();
    }

    dispatch::State m_state;
    journal::JournalState m_journalState;
    catalog::Catalog m_catalog;
    std::set<fleet::ZoneId> m_zonesOut;
    std::map<std::string, catalog::UpkeepWave> m_waves;
    jobs::StepSpec m_spec;
    dispatch::Candidate m_candidate;
};

}

/// A best-effort task is allocated no cores, but counts with those that it asks for.
Test(accountLimits, independentTasks_asManyAsFitTheFullRequest)
{
    LimitFixture fixture;
    cr_assert_eq(fixture.allowed(), 4);
    fixture.m_spec.m_usesIdleProcessor = true;
    fixture.m_candidate.m_perTask = {0, 1000, 1};
    cr_assert_eq(fixture.allowed(), 4);
    fixture.m_state.m_accountUse[account] = {3500, 0, 0};
    cr_assert_eq(fixture.allowed(), 0);
    fixture.m_catalog.m_accounts.front().m_maximum = {};
    cr_assert_eq(fixture.allowed(), 6);
}

/// A part of a gang would wait on its workers in vain.
Test(accountLimits, gang_startsWholeOrNotAtAll)
{
    LimitFixture fixture;
    fixture.m_spec.m_isGang = true;
    cr_assert_eq(fixture.allowed(), 0);
    fixture.m_candidate.m_tasks.resize(4);
    cr_assert_eq(fixture.allowed(), 4);
}

/// A start order without an answer may be carried out after its run has ended, as long as its lease lasts.
Test(accountLimits, unansweredStart_countsUntilItCannotBeCarriedOut)
{
    LimitFixture fixture;
    const fleet::WorkerId id {"w"};
    dispatch::WorkerState &worker = fixture.m_state.m_workers[id];
    worker.m_registration.m_incarnation = {id, 1};
    worker.m_clockMs = 500;
    worker.m_clockAt = now.m_boot;
    dispatch::UnansweredStart &start = fixture.m_state.m_unansweredStarts[id][{}];
    start.m_target = {id, 1};
    start.m_unansweredAt = now.m_boot;
    start.m_leaseUntilMs = 600;
    start.m_account = account;
    start.m_requested = {4000, 0, 0};
    cr_assert_eq(fixture.allowed(), 0);
    worker.m_clockMs = 600;
    cr_assert_eq(fixture.allowed(), 4);
    worker.m_registration.m_incarnation = {id, 2};
    cr_assert_eq(fixture.allowed(), 0, "the restarted worker does not know the run");
    start.m_stoppedOn = {id, 2};
    cr_assert_eq(fixture.allowed(), 4);
}

/// A late start order that a worker carries out uses resources until the run has certainly ended.
Test(accountLimits, strayRun_countsUntilItsStopOrItsLease)
{
    LimitFixture fixture;
    const fleet::WorkerId id {"w"};
    dispatch::WorkerState &worker = fixture.m_state.m_workers[id];
    worker.m_registration.m_incarnation = {id, 1};
    worker.m_clockMs = 500;
    worker.m_clockAt = now.m_boot;
    worker.m_hasAcceptedToken = true;
    worker.m_grantedLeaseEndMs = 600;
    dispatch::StrayRun &stray = fixture.m_state.m_strayRuns[id][{}];
    stray = {{id, 1}, account, {4000, 0, 0}, now.m_boot, {}};
    cr_assert_eq(fixture.allowed(), 0);
    stray.m_endsBy = now.m_boot;
    cr_assert_eq(fixture.allowed(), 4, "its stop was confirmed");
    stray.m_endsBy.reset();
    worker.m_clockMs = 600;
    cr_assert_eq(fixture.allowed(), 0, "a late order may have extended the lease since it was seen");
    stray.m_seenAt = now.m_boot - fixture.m_state.m_settings.longestLease();
    cr_assert_eq(fixture.allowed(), 4, "its lease has expired");
    worker.m_clockMs = 500;
    worker.m_registration.m_incarnation = {id, 2};
    cr_assert_eq(fixture.allowed(), 4, "its process has ended");
}

/// Steps earlier in the order would take the room of members that join a gang, and the others would wait for them in vain.
Test(accountLimits, membersThatJoinAGang_keepTheirRoom)
{
    LimitFixture fixture;
    dispatch::Context context {
        fixture.m_state, fixture.m_journalState, fixture.m_catalog, fixture.m_zonesOut, fixture.m_waves, now, {}, {}, {}, {}, {}, {}, {}};
    dispatch::Candidate other = fixture.m_candidate;
    dispatch::Candidate joining = fixture.m_candidate;
    joining.m_joinedRun = 1;
    joining.m_tasks.resize(3);
    dispatch::AccountBudgets budgets = dispatch::makeAccountBudgets(context, {other, joining});
    dispatch::withholdTasks(context, budgets, other);
    cr_assert_eq(other.m_tasks.size(), 1);
    dispatch::settleTasks(context, budgets, other, 1);
    dispatch::withholdTasks(context, budgets, joining);
    cr_assert_eq(joining.m_tasks.size(), 3);
}

/// A gang whose room never becomes free, for example beside long-running tasks, must not stop the other work of its account for good.
Test(accountLimits, gangThatWaitsForRoom_roomIsKeptInTurns)
{
    cr_assert_not(dispatch::isRoomKeptForGang(1s, false));
    cr_assert(dispatch::isRoomKeptForGang(2s, false));
    cr_assert(dispatch::isRoomKeptForGang(7s, false));
    cr_assert_not(dispatch::isRoomKeptForGang(8s, false));
    cr_assert(dispatch::isRoomKeptForGang(14s, false));
}

/// Steps that stand still for 3 s while their account has half of its maximum left count as lost.
Test(accountLimits, gangThatWaitsForRoom_accountBelowHalf_turnsAreShort)
{
    cr_assert(dispatch::isRoomKeptForGang(3s, true));
    cr_assert_not(dispatch::isRoomKeptForGang(4s, true));
    cr_assert_not(dispatch::isRoomKeptForGang(5s, true));
    cr_assert(dispatch::isRoomKeptForGang(6s, true));
}
