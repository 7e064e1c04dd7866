#include "components/health/records.hpp"

#include <string>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

constexpr fleet::TimePoint start {1'000'000s};

/// Two racks of four workers.
struct Site
{
    health::Records m_records;
    health::Settings m_settings;

    health::FailureResult fail(const char *job, int worker, fleet::TimePoint now = start)
    {
        const int first = worker / 4 * 4;
        return health::recordFailure(m_records, m_settings, fleet::JobId(job), worker, {first, first + 1, first + 2, first + 3}, now);
    }

    void quarantine(int worker, fleet::TimePoint now = start)
    {
        for (const char *suffix : {"x", "y", "z"}) {
            fail((std::to_string(worker) + suffix).c_str(), worker, now);
        }
    }
};

}

Test(health, jobFailingOnThreeWorkers_failure_marksTheJobBadAndNoWorker)
{
    Site site;
    cr_assert_not(site.fail("bad", 0).m_isJobBad);
    cr_assert_not(site.fail("bad", 1).m_isJobBad);
    const health::FailureResult result = site.fail("bad", 2);
    cr_assert(result.m_isJobBad);
    cr_assert(result.m_quarantined.empty());
}

Test(health, manyBadJobs_workers_areNotQuarantined)
{
    Site site;
    for (const char *job : {"b0", "b1", "b2", "b3", "b4", "b5"}) {
        for (int worker = 0; worker < 3; ++worker) {
            cr_assert(site.fail(job, worker).m_quarantined.empty());
        }
    }
}

Test(health, threeJobsFailingOnOneWorkerOnly_worker_isQuarantinedAndJobsAreCleared)
{
    Site site;
    site.fail("j0", 5);
    site.fail("j1", 5);
    const health::FailureResult result = site.fail("j2", 5);
    cr_assert((result.m_quarantined == std::vector<int> {5}));
    cr_assert_not(result.m_isJobBad);
    cr_assert(site.m_records.m_jobs.at(fleet::JobId("j0")).m_failedOn.empty());
}

Test(health, oneFailureWhileProbing_quarantine_isTwiceAsLong)
{
    Site site;
    site.quarantine(5);
    health::expire(site.m_records, site.m_settings, start + 60s);
    cr_assert(health::isProbing(site.m_records, 5));
    site.fail("j9", 5, start + 61s);
    health::expire(site.m_records, site.m_settings, start + 61s + 119s);
    cr_assert(health::isQuarantined(site.m_records, 5));
    health::expire(site.m_records, site.m_settings, start + 61s + 120s);
    cr_assert_not(health::isQuarantined(site.m_records, 5));
}

Test(health, successWhileProbing_worker_leavesProbing)
{
    Site site;
    site.quarantine(5);
    health::expire(site.m_records, site.m_settings, start + 60s);
    health::recordSuccess(site.m_records, 5);
    cr_assert_not(health::isProbing(site.m_records, 5));
    cr_assert(site.fail("j9", 5, start + 61s).m_quarantined.empty());
}

Test(health, noFailuresForAWindow_consecutiveQuarantines_areReset)
{
    Site site;
    site.quarantine(5);
    health::expire(site.m_records, site.m_settings, start + 60s + 601s);
    cr_assert_eq(site.m_records.m_workers.at(5).m_consecutiveQuarantines, 0);
}

Test(health, threeWorkersOfARackQuarantined_rack_isQuarantinedWithLayeredScopesOnly)
{
    for (const auto attribution : {health::Attribution::DistinctPairs, health::Attribution::LayeredScopes}) {
        Site site;
        site.m_settings.m_attribution = attribution;
        site.quarantine(0);
        site.quarantine(1);
        site.quarantine(2);
        cr_assert_eq(health::isQuarantined(site.m_records, 3), attribution == health::Attribution::LayeredScopes);
        cr_assert_not(health::isQuarantined(site.m_records, 4));
    }
}

Test(health, oneCounter_badJobs_quarantineGoodWorkers)
{
    Site site;
    site.m_settings.m_attribution = health::Attribution::OneCounter;
    site.fail("b0", 0);
    site.fail("b1", 0);
    cr_assert((site.fail("b1", 0).m_quarantined == std::vector<int> {0}));
}
