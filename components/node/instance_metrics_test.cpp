#include "components/node/instance_metrics.hpp"

#include "components/metrics/registry.hpp"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

/// The registry keeps every entry, so that an entry for each account ever seen would grow without bound.
Test(instanceMetrics, manyAccounts_haveOneEntryBeyondTheBound)
{
    metrics::Registry registry;
    node::InstanceMetrics instanceMetrics(registry);
    node::InstanceStats stats;
    for (int i = 0; i < 100; ++i) {
        stats.m_accounts.push_back({fleet::AccountId("a\"" + std::to_string(i)), {1000, 10, 1}, {0, 0, 8}, 10, 2});
    }
    instanceMetrics.publish(stats);
    std::string text = registry.render();
    cr_assert(text.find("foxtailcross_account_running{account=\"a\\\"7\",resource=\"gpu\"} 1\n") != std::string::npos);
    cr_assert(text.find("foxtailcross_account_running{account=\"(others)\",resource=\"gpu\"} 36\n") != std::string::npos);
    cr_assert(text.find("foxtailcross_account_steps_waiting{account=\"(others)\"} 72\n") != std::string::npos);
    cr_assert(text.find("a\\\"64\"") == std::string::npos);
    stats.m_accounts.clear();
    instanceMetrics.publish(stats);
    text = registry.render();
    cr_assert(text.find("foxtailcross_account_running{account=\"a\\\"7\",resource=\"gpu\"} 0\n") != std::string::npos);
    cr_assert(text.find("foxtailcross_account_running{account=\"(others)\",resource=\"gpu\"} 0\n") != std::string::npos);
}

/// The counts of a holder are sums since its start; metrics that were set anew would fall and be taken for a restart.
Test(instanceMetrics, countsOfRuns_growByTheirIncrease)
{
    metrics::Registry registry;
    node::InstanceMetrics instanceMetrics(registry);
    node::InstanceStats stats;
    instanceMetrics.publish(stats);
    std::string text = registry.render();
    cr_assert(text.find("foxtailcross_two_runs_total 0\n") != std::string::npos);
    cr_assert(text.find("foxtailcross_runs_given_up_total{proof=\"lease-over\"} 0\n") != std::string::npos);
    stats.m_runCounts.m_workerRestarts = 3;
    stats.m_runCounts.m_strayRuns = 2;
    stats.m_runCounts.m_twoRuns = 1;
    stats.m_runCounts.m_givenUp[dispatch::RunEndProof::LeaseOver] = 5;
    stats.m_unansweredStarts = 4;
    instanceMetrics.publish(stats);
    stats.m_runCounts.m_givenUp[dispatch::RunEndProof::LeaseOver] = 7;
    instanceMetrics.publish(stats);
    instanceMetrics.publish(stats);
    text = registry.render();
    cr_assert(text.find("foxtailcross_worker_restarts_total 3\n") != std::string::npos);
    cr_assert(text.find("foxtailcross_stray_runs_total 2\n") != std::string::npos);
    cr_assert(text.find("foxtailcross_two_runs_total 1\n") != std::string::npos);
    cr_assert(text.find("foxtailcross_runs_given_up_total{proof=\"lease-over\"} 7\n") != std::string::npos);
    cr_assert(text.find("foxtailcross_unanswered_starts 4\n") != std::string::npos);
}
