#include "components/experiment/run.hpp"

#include "components/experiment/free_capacity.hpp"
#include "components/experiment/seeds.hpp"
#include "components/experiment/workload.hpp"

#include <criterion/criterion.h>

namespace
{

struct Fixture
{
    experiment::RunOptions m_options;

    Fixture()
    {
        m_options.m_site = experiment::swaralaya();
        m_options.m_horizon = std::chrono::minutes(30);
        m_options.m_faultScale = 20.0;
    }
};

}

Test(experiment, fewSeedsOfMixedFaults_runSeeds_findNoViolations)
{
    const Fixture fixture;
    const experiment::Summary summary = experiment::runSeeds(fixture.m_options, {101, 5, 2}, [](std::uint64_t) {});
    for (const experiment::RunStats &stats : summary.m_runs) {
        cr_assert_gt(stats.m_done, 0.0);
        for (const experiment::Violation &violation : stats.m_violations) {
            cr_log_error("seed %lu: %s", stats.m_seed, experiment::describe(violation).c_str());
        }
    }
    cr_assert_eq(experiment::violationCount(summary), 0);
}

Test(experiment, memberLostJustAfterRenewal_runExperiment_endsTheRestWithinOneLease)
{
    Fixture fixture;
    fixture.m_options.m_horizon = std::chrono::seconds(1'728);
    fixture.m_options.m_drain = fixture.m_options.m_horizon;
    for (const std::uint64_t seed : {10'048, 10'585, 10'589, 10'593}) {
        cr_assert(experiment::runExperiment(fixture.m_options, seed).m_violations.empty(), "seed %lu", seed);
    }
}

Test(experiment, sameSeedTwice_runExperiment_givesTheSameFigures)
{
    Fixture fixture;
    fixture.m_options.m_horizon = std::chrono::minutes(10);
    cr_assert(experiment::runExperiment(fixture.m_options, 7) == experiment::runExperiment(fixture.m_options, 7));
}

Test(workload, twentyDays_generateWorkload_matchOfferedLoad)
{
    const experiment::Site site = experiment::kurume();
    double acceleratorHours = 0.0;
    for (const experiment::PlannedJob &job : experiment::generateWorkload(site, 3, std::chrono::hours(24 * 20))) {
        const bool counts = !job.m_impossible && !job.m_failsAfter && job.m_spec.m_submittedAt > experiment::runStart;
        const double hours = std::chrono::duration<double, std::ratio<3'600>>(job.m_runTime).count();
        acceleratorHours += counts ? hours * static_cast<double>(job.m_spec.m_shape.total().m_accelerators) : 0.0;
    }
    const double offered = acceleratorHours / (24.0 * 20.0 * static_cast<double>(experiment::totalAccelerators(site)));
    cr_assert(offered > 0.75 && offered < 0.95, "offered %f", offered);
}

Test(freeCapacity, waitingGangSpansRacks_unusableAccelerators_countsRemaining)
{
    const std::vector<experiment::FreeWorker> workers {{0, {0, 0, 8}}, {1, {0, 0, 8}}};
    const fleet::Shape gang {2, {0, 0, 8}, fleet::Adjacency::SameRack};
    const fleet::Shape single {1, {0, 0, 8}, fleet::Adjacency::SameRack};
    cr_assert_eq(experiment::unusableAccelerators(workers, {gang}), 16);
    cr_assert_eq(experiment::unusableAccelerators(workers, {gang, single}), 8);
    cr_assert_eq(experiment::unusableAccelerators(workers, {single}), 0);
    cr_assert_eq(experiment::largestRackGang(workers), 8);
}
