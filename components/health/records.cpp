#include "components/health/records.hpp"

#include <algorithm>

namespace health
{

namespace
{

fleet::Duration quarantineLength(const Settings &settings, int level)
{
    const int doublings = std::clamp(level - 1, 0, 16);
    return std::min(settings.m_quarantineMax, settings.m_quarantineBase * (1 << doublings));
}

void quarantine(Records &records, const Settings &settings, int index, fleet::TimePoint now)
{
    WorkerHealth &worker = records.m_workers[index];
    ++worker.m_consecutiveQuarantines;
    worker.m_quarantinedUntil = now + quarantineLength(settings, worker.m_consecutiveQuarantines);
    worker.m_isInQuarantine = true;
    worker.m_isProbing = false;
    worker.m_consecutiveFailures = 0;
    worker.m_failedJobs.clear();
    for (auto &[id, job] : records.m_jobs) {
        job.m_failedOn.erase(index);
    }
}

/// Stops counting the job's failures against workers: a job that failed on a second worker says nothing about the first.
void clearFailuresOfJob(Records &records, const fleet::JobId &id)
{
    for (auto &[index, worker] : records.m_workers) {
        worker.m_failedJobs.erase(id);
    }
}

bool isWorkerBad(const WorkerHealth &worker, const Settings &settings)
{
    const int failures = settings.m_attribution == Attribution::OneCounter ? worker.m_consecutiveFailures : static_cast<int>(worker.m_failedJobs.size());
    return worker.m_isProbing ? failures > 0 : failures >= settings.m_badWorkerJobs;
}

bool isJobBad(const JobHealth &job, const Settings &settings)
{
    if (settings.m_attribution == Attribution::OneCounter) {
        return job.m_failures >= settings.m_badJobWorkers;
    }
    return static_cast<int>(job.m_failedOn.size()) >= settings.m_badJobWorkers || job.m_failures >= settings.m_badJobFailures;
}

std::vector<int> quarantineRack(Records &records, const Settings &settings, const std::vector<int> &rack, fleet::TimePoint now)
{
    const auto isQuarantinedWorker = [&records](int worker) {
        return isQuarantined(records, worker);
    };
    std::vector<int> added;
    if (settings.m_attribution != Attribution::LayeredScopes || std::count_if(rack.begin(), rack.end(), isQuarantinedWorker) < settings.m_badRackWorkers) {
        return added;
    }
    std::copy_if(rack.begin(), rack.end(), std::back_inserter(added), [&isQuarantinedWorker](int worker) {
        return !isQuarantinedWorker(worker);
    });
    for (const int worker : added) {
        quarantine(records, settings, worker, now);
    }
    return added;
}

}

FailureResult recordFailure(Records &records, const Settings &settings, const fleet::JobId &id, int index, const std::vector<int> &rack, fleet::TimePoint now)
{
    JobHealth &job = records.m_jobs[id];
    WorkerHealth &worker = records.m_workers[index];
    ++job.m_failures;
    ++worker.m_consecutiveFailures;
    job.m_failedOn.insert(index);
    if (job.m_failedOn.size() > 1 && settings.m_attribution != Attribution::OneCounter) {
        clearFailuresOfJob(records, id);
    } else {
        worker.m_failedJobs.insert_or_assign(id, now);
    }
    FailureResult result;
    result.m_isJobBad = isJobBad(job, settings);
    if (isWorkerBad(worker, settings) && !isQuarantined(records, index)) {
        quarantine(records, settings, index, now);
        result.m_quarantined = quarantineRack(records, settings, rack, now);
        result.m_quarantined.push_back(index);
    }
    return result;
}

void recordSuccess(Records &records, int index)
{
    const auto found = records.m_workers.find(index);
    if (found == records.m_workers.end()) {
        return;
    }
    WorkerHealth &worker = found->second;
    worker.m_isProbing = false;
    worker.m_consecutiveFailures = 0;
    if (!worker.m_failedJobs.empty()) {
        worker.m_failedJobs.erase(worker.m_failedJobs.begin());
    }
}

void dropJob(Records &records, const fleet::JobId &job)
{
    records.m_jobs.erase(job);
}

std::vector<int> expire(Records &records, const Settings &settings, fleet::TimePoint now)
{
    std::vector<int> released;
    for (auto &[index, worker] : records.m_workers) {
        std::erase_if(worker.m_failedJobs, [&settings, now](const auto &entry) {
            return now - entry.second > settings.m_window;
        });
        const bool isOver = worker.m_isInQuarantine && now >= worker.m_quarantinedUntil;
        worker.m_isProbing = worker.m_isProbing || isOver;
        worker.m_isInQuarantine = worker.m_isInQuarantine && !isOver;
        const bool isQuietPeriodOver = now - worker.m_quarantinedUntil > settings.m_window && worker.m_failedJobs.empty();
        worker.m_consecutiveQuarantines = isQuietPeriodOver ? 0 : worker.m_consecutiveQuarantines;
        if (isOver) {
            released.push_back(index);
        }
    }
    return released;
}

bool isQuarantined(const Records &records, int worker)
{
    const auto found = records.m_workers.find(worker);
    return found != records.m_workers.end() && found->second.m_isInQuarantine;
}

bool isProbing(const Records &records, int worker)
{
    const auto found = records.m_workers.find(worker);
    return found != records.m_workers.end() && found->second.m_isProbing;
}

}
