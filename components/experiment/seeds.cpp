#include "components/experiment/seeds.hpp"

#include "components/experiment/run.hpp"

#include <atomic>
#include <mutex>
#include <thread>

namespace experiment
{

namespace
{

constexpr double hoursPerDay = 24.0;

const char *policyName(scheduler::Policy policy)
{
    return policy == scheduler::Policy::FirstFitFifo ? "first-fit-fifo" : "guaranteed";
}

}

Summary runSeeds(const RunOptions &options, const SeedRange &range, const Progress &progress)
{
    Summary summary;
    summary.m_site = options.m_site.m_name;
    summary.m_policy = policyName(options.m_scheduler.m_policy);
    summary.m_days = std::chrono::duration<double, std::ratio<3'600>>(options.m_horizon).count() / hoursPerDay;
    summary.m_faultScale = options.m_faultScale;
    summary.m_runs.resize(range.m_count);
    std::atomic<std::uint64_t> next {0};
    std::uint64_t done = 0;
    std::mutex doneMutex;
    const auto work = [&] {
        for (std::uint64_t index = next++; index < range.m_count; index = next++) {
            summary.m_runs[index] = runExperiment(options, range.m_first + index);
            const std::scoped_lock lock(doneMutex);
            progress(++done);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned thread = 0; thread < range.m_threads; ++thread) {
        threads.emplace_back(work);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    summarize(summary);
    return summary;
}

}
