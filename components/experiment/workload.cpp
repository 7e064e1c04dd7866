#include "components/experiment/workload.hpp"

#include "components/experiment/random.hpp"

#include <algorithm>
#include <cmath>

namespace experiment
{

namespace
{

constexpr double runTimeSigma = 0.8;
constexpr double declaredSigma = 1.0;
constexpr double burstProbability = 0.02;
constexpr int smallJobBurstSize = 40;
constexpr int largeJobBurstSize = 5;
constexpr double impossibleProbability = 0.005;
constexpr double failingProbability = 0.015;
constexpr double guaranteedJobProbability = 0.01;
constexpr double fixedZoneProbability = 0.1;
constexpr double cancelWaveProbability = 0.004;
constexpr double cancelWaveShare = 0.5;
constexpr fleet::Duration cancelWaveWindow = std::chrono::minutes(30);
constexpr double backlogShare = 0.8;
constexpr double overstatedMemoryProbability = 0.1;
constexpr double maximumRunTimeFactor = 6.0;
/// Index of the account that submits every job as urgent.
constexpr std::size_t alwaysUrgentAccount = 3;

/// Number of accelerators that other jobs cannot use while the job runs. A task that overstates its memory blocks more
/// accelerators than it requests.
double blockedAccelerators(const Site &site, const fleet::Shape &shape)
{
    if (shape.m_perTask.m_accelerators == 0) {
        return 0.0;
    }
    const std::int64_t byMemory = shape.m_perTask.m_memoryMb / site.m_perAccelerator.m_memoryMb;
    return static_cast<double>(std::max(byMemory, shape.m_perTask.m_accelerators) * shape.m_tasks);
}

double acceleratorSeconds(const Site &site, const PlannedJob &job)
{
    return std::chrono::duration<double>(job.m_runTime).count() * blockedAccelerators(site, job.m_spec.m_shape);
}

fleet::Duration scaled(fleet::Duration duration, double factor)
{
    return fleet::Duration(std::max<std::int64_t>(1'000, std::llround(static_cast<double>(duration.count()) * factor)));
}

const JobClass &pickClass(const Site &site, Random &random)
{
    int total = 0;
    for (const JobClass &jobClass : site.m_classes) {
        total += jobClass.m_weight;
    }
    std::int64_t remaining = uniform(random, 1, total);
    for (const JobClass &jobClass : site.m_classes) {
        remaining -= jobClass.m_weight;
        if (remaining <= 0) {
            return jobClass;
        }
    }
    return site.m_classes.back();
}

/// Picks an account at random. Accounts with a lower index submit more jobs (index proportional to u^1.5 for uniform u).
std::size_t pickAccount(const Site &site, Random &random)
{
    const double place = std::pow(static_cast<double>(uniform(random, 0, 999'999)) / 1'000'000.0, 1.5);
    return static_cast<std::size_t>(place * static_cast<double>(site.m_accounts.size()));
}

fleet::Shape generateShape(const Site &site, const JobClass &jobClass, Random &random)
{
    const int accelerators = pick(random, jobClass.m_accelerators);
    fleet::Shape shape;
    shape.m_tasks = pick(random, jobClass.m_tasks);
    shape.m_perTask = site.m_perAccelerator * std::max(accelerators, 1);
    shape.m_perTask.m_accelerators = accelerators;
    shape.m_adjacency = jobClass.m_adjacency;
    if (accelerators > 0 && accelerators <= 4 && chance(random, overstatedMemoryProbability)) {
        shape.m_perTask.m_memoryMb *= 2;
    }
    return shape;
}

void makeImpossible(PlannedJob &job, Random &random)
{
    job.m_impossible = true;
    if (chance(random, 0.5)) {
        job.m_spec.m_shape.m_perTask.m_accelerators = 16;
    } else {
        job.m_spec.m_shape.m_tasks = 1'000;
        job.m_spec.m_shape.m_perTask.m_accelerators = 8;
    }
}

PlannedJob generateJob(const Site &site, const JobClass &jobClass, Random &random)
{
    const std::size_t account = pickAccount(site, random);
    PlannedJob job;
    job.m_spec.m_account = site.m_accounts[account].m_account;
    job.m_spec.m_kind = jobClass.m_kind;
    job.m_spec.m_shape = generateShape(site, jobClass, random);
    job.m_spec.m_urgency = account == alwaysUrgentAccount ? fleet::Urgency::Urgent : jobClass.m_urgency;
    job.m_spec.m_checkpointable = chance(random, jobClass.m_checkpointable);
    job.m_runTime = scaled(jobClass.m_medianRunTime, std::min(spreadFactor(random, runTimeSigma), maximumRunTimeFactor));
    job.m_spec.m_declaredRunTime = scaled(job.m_runTime, spreadFactor(random, declaredSigma));
    if (chance(random, fixedZoneProbability)) {
        job.m_spec.m_zone = pick(random, site.m_zones);
    }
    if (chance(random, impossibleProbability)) {
        makeImpossible(job, random);
    } else if (chance(random, failingProbability)) {
        job.m_failsAfter = uniformDuration(random, std::chrono::seconds(2), std::chrono::minutes(2));
    }
    return job;
}

/// Generates a job with exactly the guaranteed shape of a random account.
PlannedJob generateGuaranteedJob(const Site &site, Random &random)
{
    const fleet::AccountPolicy &policy = pick(random, site.m_accounts);
    PlannedJob job;
    job.m_spec.m_account = policy.m_account;
    job.m_spec.m_kind = "guaranteed";
    job.m_spec.m_shape = policy.m_guarantees.front().m_shape;
    job.m_spec.m_checkpointable = true;
    job.m_runTime = scaled(std::chrono::minutes(20), spreadFactor(random, runTimeSigma));
    job.m_spec.m_declaredRunTime = job.m_runTime;
    return job;
}

/// Jobs generated so far and the submission time of the next one.
struct WorkloadBuilder
{
    std::vector<PlannedJob> m_jobs;
    fleet::TimePoint m_clock = runStart;
};

/// Adds the job at the current clock. Returns the accelerator time that it blocks, in seconds; 0 for a job that is not sound.
double submit(WorkloadBuilder &draft, const Site &site, PlannedJob job)
{
    job.m_spec.m_id = fleet::JobId("job-" + std::to_string(draft.m_jobs.size()));
    job.m_spec.m_submittedAt = draft.m_clock;
    const double work = job.isSound() ? acceleratorSeconds(site, job) : 0.0;
    draft.m_jobs.push_back(std::move(job));
    return work;
}

const JobClass &classForBurst(const Site &site, bool large)
{
    return large ? site.m_classes.back() : site.m_classes.front();
}

double submitNext(WorkloadBuilder &draft, const Site &site, Random &random)
{
    if (chance(random, guaranteedJobProbability)) {
        return submit(draft, site, generateGuaranteedJob(site, random));
    }
    if (!chance(random, burstProbability)) {
        return submit(draft, site, generateJob(site, pickClass(site, random), random));
    }
    const bool large = chance(random, 0.5);
    const int size = large ? largeJobBurstSize : smallJobBurstSize;
    double work = 0.0;
    for (int member = 0; member < size; ++member) {
        work += submit(draft, site, generateJob(site, classForBurst(site, large), random));
    }
    return work;
}

/// Cancels about half of the jobs submitted within cancelWaveWindow.
void cancelWave(WorkloadBuilder &draft, Random &random)
{
    for (PlannedJob &job : draft.m_jobs) {
        const bool recent = job.m_spec.m_submittedAt + cancelWaveWindow > draft.m_clock && job.m_spec.m_submittedAt > runStart;
        if (recent && !job.m_cancelAt && chance(random, cancelWaveShare)) {
            job.m_cancelAt = draft.m_clock + uniformDuration(random, std::chrono::seconds(1), std::chrono::seconds(20));
        }
    }
}

/// Adds the jobs of a fleet already in use. Their run times are shortened at random, because the jobs are already partly done.
void addBacklog(WorkloadBuilder &draft, const Site &site, Random &random)
{
    const double backlogAccelerators = backlogShare * static_cast<double>(totalAccelerators(site));
    double runningAccelerators = 0.0;
    while (runningAccelerators < backlogAccelerators) {
        PlannedJob job = generateJob(site, pickClass(site, random), random);
        job.m_runTime = scaled(job.m_runTime, static_cast<double>(uniform(random, 5, 100)) / 100.0);
        if (job.isSound()) {
            runningAccelerators += blockedAccelerators(site, job.m_spec.m_shape);
        }
        submit(draft, site, std::move(job));
    }
}

}

std::vector<PlannedJob> generateWorkload(const Site &site, std::uint64_t seed, fleet::Duration horizon)
{
    Random random(seed);
    WorkloadBuilder draft;
    addBacklog(draft, site, random);
    const double acceleratorsOffered = site.m_offeredLoad * static_cast<double>(totalAccelerators(site));
    while (draft.m_clock < runStart + horizon) {
        const double work = submitNext(draft, site, random);
        if (chance(random, cancelWaveProbability)) {
            cancelWave(draft, random);
        }
        const double seconds = work / acceleratorsOffered * exponential(random);
        draft.m_clock += fleet::Duration(std::llround(seconds * 1'000.0));
    }
    return std::move(draft.m_jobs);
}

}
