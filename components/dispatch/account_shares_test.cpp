#include "components/dispatch/account_shares.hpp"

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

/// A worker of eight accelerators, and two accounts with the weights 3 and 1.
struct ShareFixture
{
    ShareFixture()
    {
        m_catalog.m_accounts = {{fleet::AccountId("a"), {}, 0, {}, 3}, {fleet::AccountId("b"), {}, 0, {}, 1}};
        dispatch::WorkerState &worker = m_state.m_workers[fleet::WorkerId("w")];
        worker.m_isListed = true;
        worker.m_registration.m_capacity = {8000, 8000, 8};
        m_spec.m_perTask = {1, 1, 1};
    }

    void add(const char *account, std::uint16_t tasks, const jobs::StepSpec &spec)
    {
        dispatch::Candidate candidate;
        candidate.m_step.m_job.m_value = m_candidates.size();
        candidate.m_spec = &spec;
        candidate.m_queue = &m_queue;
        candidate.m_account = fleet::AccountId(account);
        candidate.m_tasks.resize(tasks);
        candidate.m_objective = now.m_wall + 5s;
        m_journalState.m_jobs[candidate.m_step.m_job].m_acceptedAt = now.m_wall;
        m_candidates.push_back(candidate);
    }

    std::vector<std::uint64_t> order()
    {
        const dispatch::Context context {m_state, m_journalState, m_catalog, m_zonesOut, m_waves, now, {}, {}, {}, {}, {}, {}, {}};
        std::vector<dispatch::Candidate> candidates = m_candidates;
        dispatch::orderByShare(context, candidates);
        std::vector<std::uint64_t> result;
        result.reserve(candidates.size());
        for (const dispatch::Candidate &candidate : candidates) {
            result.push_back(candidate.m_step.m_job.m_value);
        }
        return result;
    }

    dispatch::State m_state;
    journal::JournalState m_journalState;
    catalog::Catalog m_catalog;
    std::set<fleet::ZoneId> m_zonesOut;
    std::map<std::string, catalog::UpkeepWave> m_waves;
    jobs::StepSpec m_spec;
    catalog::Queue m_queue;
    std::vector<dispatch::Candidate> m_candidates;
};

using Order = std::vector<std::uint64_t>;

}

/// An account with many early steps would get all workers, whatever its weight.
Test(accountShares, weightedAccounts_stepsUpToTheShareComeFirst)
{
    ShareFixture fixture;
    for (const char *account : {"b", "b", "b", "a", "a", "a", "a"}) {
        fixture.add(account, 2, fixture.m_spec);
    }
    cr_assert(fixture.order() == (Order {0, 3, 4, 5, 1, 2, 6}));
    fixture.m_state.m_accountUse[fleet::AccountId("a")] = {0, 0, 6};
    cr_assert(fixture.order() == (Order {0, 1, 2, 3, 4, 5, 6}));
    fixture.m_catalog.m_accounts[1].m_weight = 3;
    fixture.m_state.m_accountUse[fleet::AccountId("b")] = {0, 0, 8};
    cr_assert(fixture.order() == (Order {0, 1, 2, 3, 4, 5, 6}), "equal weights change nothing");
}

/// A gang wider than its account's share would wait as long as others are below theirs.
Test(accountShares, gangWiderThanTheShare_comesFirstAfterAWait)
{
    ShareFixture fixture;
    jobs::StepSpec gang = fixture.m_spec;
    gang.m_isGang = true;
    fixture.m_state.m_accountUse[fleet::AccountId("b")] = {0, 0, 2};
    fixture.add("b", 4, gang);
    fixture.add("a", 2, fixture.m_spec);
    cr_assert(fixture.order() == (Order {1, 0}));
    fixture.m_state.m_waitingSteps[fixture.m_candidates[0].m_step].m_since = now.m_boot - 9s;
    cr_assert(fixture.order() == (Order {1, 0}));
    fixture.m_state.m_waitingSteps[fixture.m_candidates[0].m_step].m_since = now.m_boot - 10s;
    cr_assert(fixture.order() == (Order {0, 1}));
}

Test(accountShares, weights_applyOnlyIfTheyDiffer)
{
    catalog::Catalog catalog;
    cr_assert_not(dispatch::areAccountsWeighted(catalog));
    catalog.m_accounts = {{fleet::AccountId("a"), {}, 0, {}, 2}, {fleet::AccountId("b"), {}, 0, {}, 2}};
    cr_assert_not(dispatch::areAccountsWeighted(catalog));
    catalog.m_accounts[1].m_weight.reset();
    cr_assert(dispatch::areAccountsWeighted(catalog));
    const dispatch::AccountShares shares = dispatch::makeShares(catalog, {fleet::AccountId("a"), fleet::AccountId("b"), fleet::AccountId("a")});
    cr_assert_float_eq(shares.at(fleet::AccountId("a")), 2.0 / 3, 1e-9);
}
