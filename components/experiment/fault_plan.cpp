#include "components/experiment/fault_plan.hpp"

#include "components/experiment/random.hpp"
#include "components/experiment/workload.hpp"

#include <algorithm>
#include <cmath>

namespace experiment
{

namespace
{

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

struct FaultRate
{
    FaultKind m_kind = FaultKind::WorkerRestart;
    /// Mean number per day for one worker or zone.
    double m_perDay = 0.0;
    fleet::Duration m_minDuration {0};
    fleet::Duration m_maxDuration {0};
};

constexpr FaultRate workerRates[] = {
    {FaultKind::WorkerRestart, 0.10, seconds(20), minutes(2)},
    {FaultKind::WorkerLoss, 0.05, minutes(10), minutes(60)},
    {FaultKind::WorkerLeaving, 0.03, minutes(10), minutes(30)},
    {FaultKind::RackLoss, 0.004, minutes(15), minutes(60)},
    {FaultKind::WorkerFailsEverything, 0.05, minutes(30), hours(4)},
    {FaultKind::WorkerUnreachable, 0.10, seconds(20), seconds(120)},
    {FaultKind::WorkerSlow, 0.10, minutes(1), minutes(10)},
};

constexpr FaultRate zoneRates[] = {
    {FaultKind::SchedulerPause, 2.0, seconds(5), seconds(90)},
    {FaultKind::ZoneOut, 0.7, minutes(20), minutes(90)},
};

constexpr MessageFaults messageFaults {0.0003, 0.001, 0.001};
constexpr double maxMessageFaultProbability = 0.05;

MessageFaults scaled(const MessageFaults &faults, double scale)
{
    const auto limit = [scale](double probability) {
        return std::min(probability * scale, maxMessageFaultProbability);
    };
    return {limit(faults.m_lost), limit(faults.m_late), limit(faults.m_duplicated)};
}

void addFaults(std::vector<Fault> &faults, const FaultRate &rate, std::size_t subject, fleet::Duration horizon, double scale, Random &random)
{
    const double meanGap = 24.0 * 3'600.0 * 1'000.0 / (rate.m_perDay * scale);
    fleet::TimePoint at = runStart;
    while (true) {
        at += fleet::Duration(std::llround(meanGap * exponential(random)));
        if (at >= runStart + horizon) {
            return;
        }
        const fleet::TimePoint until = at + uniformDuration(random, rate.m_minDuration, rate.m_maxDuration);
        faults.push_back({rate.m_kind, subject, at, until});
        at = until;
    }
}

}

FaultPlan generateFaults(const Site &site, std::uint64_t seed, fleet::Duration horizon, double scale)
{
    FaultPlan plan;
    if (scale <= 0.0) {
        return plan;
    }
    Random random(seed + 1'000'003);
    for (std::size_t worker = 0; worker < site.m_workers.size(); ++worker) {
        for (const FaultRate &rate : workerRates) {
            addFaults(plan.m_faults, rate, worker, horizon, scale, random);
        }
    }
    for (std::size_t zone = 0; zone < site.m_zones.size(); ++zone) {
        for (const FaultRate &rate : zoneRates) {
            addFaults(plan.m_faults, rate, zone, horizon, scale, random);
        }
    }
    std::stable_sort(plan.m_faults.begin(), plan.m_faults.end(), [](const Fault &a, const Fault &b) {
        return a.m_from < b.m_from;
    });
    plan.m_messages = scaled(messageFaults, scale);
    return plan;
}

}
