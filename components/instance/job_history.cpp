#include "components/instance/job_history.hpp"

#include "components/api/job_view.hpp"
#include "components/instance/core.hpp"
#include "components/records/record.hpp"
#include "components/report/objective_targets.hpp"

namespace instance
{

namespace
{

const report::ObjectiveTargets objectiveTargets;

void addLine(Core &core, const fleet::JobId &job, fleet::TimePoint at, const std::string &text)
{
    core.m_jobHistory.m_histories[job].push_back({at, text});
}

void count(Core &core, const fleet::AccountId &account, fleet::TimePoint at, const report::AccountStats &stats)
{
    report::PeriodStats period;
    period.m_accounts[account] = stats;
    report::addHour(core.m_jobHistory.m_reportTotals, report::hourOf(at), period);
}

std::string workersText(const std::vector<fleet::WorkerId> &workers)
{
    std::string text;
    for (const fleet::WorkerId &worker : workers) {
        text += (text.empty() ? "" : ", ") + worker.value();
    }
    return text;
}

/// Returns the accelerator time of the attempt that ended. Computed from the job's shape because applying the record has
/// already cleared the job's workers.
std::uint64_t acceleratorMs(const records::Job &job, fleet::TimePoint at)
{
    const auto ran = std::max(at - job.m_attemptAt, fleet::Duration(0));
    return static_cast<std::uint64_t>(ran.count() * job.m_spec.m_shape.total().m_accelerators);
}

void addRecord(Core &core, const records::JobSubmitted &submitted, fleet::TimePoint at)
{
    addLine(core, submitted.m_spec.m_id, at, "submitted by " + submitted.m_spec.m_account.value() + " to zone " + submitted.m_zone.value());
    report::AccountStats stats;
    stats.m_jobsSubmitted = 1;
    count(core, submitted.m_spec.m_account, at, stats);
}

void addRecord(Core &core, const records::JobCancelled &cancelled, fleet::TimePoint at)
{
    addLine(core, cancelled.m_job, at, "cancellation requested");
}

void countFirstStart(Core &core, const records::Job &job, fleet::TimePoint at)
{
    const bool isFirst = core.m_jobHistory.m_firstStarts.emplace(job.m_spec.m_id, at).second;
    if (isFirst && job.m_spec.m_urgency == fleet::Urgency::Urgent) {
        report::AccountStats stats;
        stats.count(report::Objective::UrgentStart, at - job.m_spec.m_submittedAt <= objectiveTargets.m_urgentStart);
        count(core, job.m_spec.m_account, at, stats);
    }
}

void addRecord(Core &core, const records::AttemptStarted &started, fleet::TimePoint at)
{
    addLine(core, started.m_job, at, "attempt " + std::to_string(started.m_attempt) + " started on " + workersText(started.m_workers));
    if (const records::Job *job = core.m_records.m_state.findJob(started.m_job)) {
        countFirstStart(core, *job, at);
    }
}

void addRecord(Core &core, const records::AttemptEnded &ended, fleet::TimePoint at)
{
    addLine(core, ended.m_job, at, "attempt " + std::to_string(ended.m_attempt) + " ended: " + ended.m_reason);
    const records::Job *job = core.m_records.m_state.findJob(ended.m_job);
    if (job) {
        report::AccountStats stats;
        stats.m_acceleratorMs = acceleratorMs(*job, at);
        const auto kept = ended.m_checkpointed.count() * job->m_spec.m_shape.total().m_accelerators;
        stats.m_wastedAcceleratorMs = stats.m_acceleratorMs - std::min(stats.m_acceleratorMs, static_cast<std::uint64_t>(kept));
        count(core, job->m_spec.m_account, at, stats);
    }
}

void countOutcome(report::AccountStats &stats, const records::Job &job, fleet::TimePoint at)
{
    switch (job.m_outcome) {
    case scheduler::JobOutcome::Done: {
        const fleet::Duration completion = at - job.m_spec.m_submittedAt;
        stats.m_jobsDone = 1;
        stats.m_completionTime.add(completion);
        stats.count(report::Objective::CompletionTime, completion - (at - job.m_attemptAt) <= objectiveTargets.m_completionWait);
        return;
    }
    case scheduler::JobOutcome::Failed:
        stats.m_jobsFailed = 1;
        stats.count(report::Objective::CompletionTime, false);
        return;
    case scheduler::JobOutcome::Cancelled:
        stats.m_jobsCancelled = 1;
        return;
    case scheduler::JobOutcome::CannotRun:
        stats.m_jobsRefused = 1;
        return;
    }
}

void addRecord(Core &core, const records::JobEnded &ended, fleet::TimePoint at)
{
    const std::string reason = ended.m_reason.empty() ? "" : ": " + ended.m_reason;
    addLine(core, ended.m_job, at, "ended as " + std::string(api::outcomeName(ended.m_outcome)) + reason);
    const records::Job *job = core.m_records.m_state.findJob(ended.m_job);
    if (!job) {
        return;
    }
    report::AccountStats stats;
    countOutcome(stats, *job, at);
    if (job->m_attempts > 0) {
        stats.m_acceleratorMs = acceleratorMs(*job, at);
    }
    count(core, job->m_spec.m_account, at, stats);
}

void addRecord(Core &core, const records::JobMoved &moved, fleet::TimePoint at)
{
    addLine(core, moved.m_job, at, "moved to zone " + moved.m_to.value());
}

void addRecord(Core &core, const records::RequestsCounted &counted, fleet::TimePoint at)
{
    report::AccountStats stats;
    stats.m_requestsDone = static_cast<std::uint64_t>(counted.m_done);
    stats.m_requestsRefused = static_cast<std::uint64_t>(counted.m_refused);
    stats.m_requestsUnknown = static_cast<std::uint64_t>(counted.m_unknown);
    stats.m_tallies[static_cast<std::size_t>(report::Objective::RequestSuccess)] = {
        stats.m_requestsDone,
        stats.m_requestsDone + stats.m_requestsRefused + stats.m_requestsUnknown,
    };
    count(core, counted.m_account, at, stats);
}

template<class Other>
void addRecord(Core &, const Other &, fleet::TimePoint)
{
    // Other records do not concern a job.
}

}

void addToHistory(Core &core, const records::Record &record, fleet::TimePoint at)
{
    std::visit(
        [&](const auto &body) {
            addRecord(core, body, at);
        },
        record.m_body);
}

}
