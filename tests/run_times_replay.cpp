// Feeds lines "STEP WORKER MILLISECONDS" from the standard input to the model of components/run_times, and prints the logarithm of the
// worker's factor before each line. For compare_run_time_models.py. Build at the root:
// g++ -std=c++20 -O2 -I. tests/run_times_replay.cpp components/run_times/{run_times,quantile,factor_distribution}.cpp -o run_times_replay
#include "components/run_times/run_times.hpp"

#include <chrono>
#include <cmath>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>

int main()
{
    // The logs have 20 to 60 ends of tasks a second.
    constexpr fleet::Duration betweenEnds {20};
    run_times::Model model;
    std::map<std::string, std::uint64_t> jobs;
    fleet::BootTime now {std::chrono::seconds(100)};
    std::string step;
    std::string worker;
    std::int64_t milliseconds = 0;
    while (std::cin >> step >> worker >> milliseconds) {
        run_times::Sample sample;
        sample.m_step.m_job.m_value = jobs.try_emplace(step, jobs.size() + 1).first->second;
        sample.m_worker = {fleet::WorkerId(worker), 1};
        sample.m_estimate = std::chrono::seconds(1);
        sample.m_ran = fleet::Duration(milliseconds);
        sample.m_fraction = 1;
        sample.m_isDone = true;
        std::cout << std::log(run_times::speedOf(model, sample.m_worker, now).m_factor) << '\n';
        run_times::learn(model, sample, now);
        now += betweenEnds;
    }
}
