#include "components/instance/job_calls.hpp"

#include "components/admission/zone_choice.hpp"
#include "components/instance/core.hpp"
#include "components/instance/job_history.hpp"
#include "components/instance/status_calls.hpp"
#include "components/instance/zone_scheduling.hpp"
#include "components/instance/zone_summaries.hpp"
#include "components/records/record.hpp"

#include <algorithm>

namespace instance
{

namespace
{

/// How long a caller waits for a record to be read back from the log and applied.
constexpr fleet::Duration jobRecordTimeout {8000};

void refuse(Core &core, requests::WaiterId waiter, api::ErrorKind kind, const std::string &message)
{
    core.m_ports.m_reply(waiter, api::Refusal {kind, message});
}

/// Answers a submission whose id is in use: accepts a repetition of the same job and refuses a different one.
void answerKnown(Core &core, requests::WaiterId waiter, const fleet::JobSpec &spec, const records::Job &known)
{
    fleet::JobSpec repeated = spec;
    repeated.m_submittedAt = known.m_spec.m_submittedAt;
    if (repeated == known.m_spec) {
        core.m_ports.m_reply(waiter, api::JobAccepted {spec.m_id, known.m_zone});
        return;
    }
    refuse(core, waiter, api::ErrorKind::Conflict, "the job id belongs to another job; submit with a new one");
}

/// Returns why the job cannot be accepted now; absent if it can.
std::optional<api::Refusal> findRefusal(const Core &core, const fleet::JobSpec &spec)
{
    if (!core.m_configuration.m_configuration.findAccount(spec.m_account)) {
        return api::Refusal {api::ErrorKind::Invalid, "there is no account " + spec.m_account.value() + "; ask the operators to create it"};
    }
    if (!isLogReachable(core) || !records::canAdd(core.m_batcher)) {
        return api::Refusal {api::ErrorKind::LogUnavailable, "the log cannot be written; submit again later"};
    }
    return std::nullopt;
}

bool hasZone(const std::vector<admission::ZoneSummary> &zones, const fleet::ZoneId &zone)
{
    return std::any_of(zones.begin(), zones.end(), [&](const admission::ZoneSummary &summary) {
        return summary.m_zone == zone;
    });
}

void notifyScheduler(Core &core, const records::JobSubmitted &submitted, fleet::TimePoint now)
{
    if (submitted.m_zone == core.m_settings.m_zone) {
        feedScheduler(core, scheduler::JobArrived {submitted.m_spec, 0, fleet::Duration(0)}, now);
    }
}

void notifyScheduler(Core &core, const records::JobCancelled &cancelled, fleet::TimePoint now)
{
    const records::Job *job = core.m_records.m_state.findJob(cancelled.m_job);
    if (job && job->m_zone == core.m_settings.m_zone) {
        feedScheduler(core, scheduler::JobCancelRequested {cancelled.m_job}, now);
    }
}

void notifyScheduler(Core &core, const records::JobMoved &moved, fleet::TimePoint now)
{
    const records::Job *job = core.m_records.m_state.findJob(moved.m_job);
    if (job && moved.m_to == core.m_settings.m_zone) {
        feedScheduler(core, scheduler::JobArrived {job->m_spec, job->m_attempts, job->m_checkpointed}, now);
    }
}

template<class Other>
void notifyScheduler(Core &, const Other &, fleet::TimePoint)
{
    // All other records were written by this zone's scheduler or do not concern a scheduler.
}

/// Answers the caller who waits for this record.
void answerCaller(Core &core, const records::RecordResult &result)
{
    const auto found = core.m_jobCalls.find(result.m_id);
    if (found == core.m_jobCalls.end()) {
        return;
    }
    const PendingJobCall call = found->second;
    core.m_jobCalls.erase(found);
    const records::Job *job = core.m_records.m_state.findJob(call.m_job);
    if (!result.m_accepted) {
        refuse(core, call.m_waiter, api::ErrorKind::Conflict, result.m_reason);
    } else if (call.m_isCancel || !job) {
        core.m_ports.m_reply(call.m_waiter, api::CancelAccepted {call.m_job});
    } else {
        core.m_ports.m_reply(call.m_waiter, api::JobAccepted {call.m_job, job->m_zone});
    }
}

void sendRecord(Core &core, requests::WaiterId waiter, const fleet::JobId &job, bool isCancel, const records::Body &body, fleet::TimePoint now)
{
    const records::RecordId id = records::add(core.m_batcher, {}, {}, body, now);
    core.m_jobCalls[id] = {waiter, job, now + jobRecordTimeout, isCancel};
}

}

void submitJob(Core &core, requests::WaiterId waiter, const api::SubmitJob &call, fleet::TimePoint now)
{
    fleet::JobSpec spec = call.m_spec;
    spec.m_submittedAt = now;
    if (spec.m_id.empty()) {
        spec.m_id = fleet::JobId(core.m_ports.m_makeId());
    }
    if (const records::Job *known = core.m_records.m_state.findJob(spec.m_id)) {
        answerKnown(core, waiter, spec, *known);
        return;
    }
    if (const auto refusal = findRefusal(core, spec)) {
        core.m_ports.m_reply(waiter, *refusal);
        return;
    }
    const std::vector<admission::ZoneSummary> zones = summarizeZones(core);
    const auto zone = admission::chooseZone(spec, zones);
    if (!zone || !hasZone(zones, *zone)) {
        refuse(core, waiter, api::ErrorKind::Invalid, "no such availability zone is in service; look at the status and submit again");
        return;
    }
    sendRecord(core, waiter, spec.m_id, false, records::JobSubmitted {spec, *zone}, now);
}

void cancelJob(Core &core, requests::WaiterId waiter, const api::CancelJob &call, fleet::TimePoint now)
{
    const records::Job *job = core.m_records.m_state.findJob(call.m_job);
    if (!job) {
        refuse(core, waiter, api::ErrorKind::NotFound, "there is no job " + call.m_job.value() + "; look at the list of jobs");
        return;
    }
    if (!isLogReachable(core)) {
        refuse(core, waiter, api::ErrorKind::LogUnavailable, "the log cannot be written; cancel again later");
        return;
    }
    sendRecord(core, waiter, call.m_job, true, records::JobCancelled {call.m_job}, now);
}

void showJob(Core &core, requests::WaiterId waiter, const fleet::JobId &job, fleet::TimePoint now)
{
    const records::Job *known = core.m_records.m_state.findJob(job);
    if (!known) {
        refuse(core, waiter, api::ErrorKind::NotFound, "there is no job " + job.value() + "; look at the list of jobs");
        return;
    }
    core.m_ports.m_reply(waiter, viewJob(core, *known, now));
}

void listJobs(Core &core, requests::WaiterId waiter, const api::ListJobs &call, fleet::TimePoint now)
{
    api::JobList list;
    for (const auto &[id, job] : core.m_records.m_state.m_jobs) {
        if (call.m_account.empty() || job.m_spec.m_account == call.m_account) {
            list.m_jobs.push_back(viewJob(core, job, now));
            list.m_jobs.back().m_history.clear();
        }
    }
    core.m_ports.m_reply(waiter, list);
}

api::JobView viewJob(const Core &core, const records::Job &job, fleet::TimePoint now)
{
    api::JobView view;
    view.m_spec = job.m_spec;
    view.m_zone = job.m_zone;
    view.m_attempt = job.m_attempts;
    view.m_running = job.m_phase == records::JobPhase::Running;
    view.m_workers = job.m_workers;
    view.m_reason = job.m_phase == records::JobPhase::Waiting ? explainWait(core, job, now) : job.m_reason;
    if (job.m_phase == records::JobPhase::Ended) {
        view.m_outcome = job.m_outcome;
        view.m_endedAt = job.m_endedAt;
    }
    const auto history = core.m_jobHistory.m_histories.find(job.m_spec.m_id);
    if (history != core.m_jobHistory.m_histories.end()) {
        view.m_history = history->second;
    }
    return view;
}

void onRecordApplied(Core &core, const records::Record &record, const records::RecordResult &result, fleet::TimePoint at, fleet::TimePoint now)
{
    if (result.m_accepted) {
        addToHistory(core, record, at);
        std::visit(
            [&](const auto &body) {
                notifyScheduler(core, body, now);
            },
            record.m_body);
    }
    answerCaller(core, result);
}

void expireJobCalls(Core &core, fleet::TimePoint now)
{
    std::erase_if(core.m_jobCalls, [&](const auto &entry) {
        const PendingJobCall &call = entry.second;
        if (now < call.m_deadline) {
            return false;
        }
        refuse(core,
               call.m_waiter,
               api::ErrorKind::OutcomeUnknown,
               "the log gave no answer; look at the job " + call.m_job.value() + ", or submit it again with the same id");
        return true;
    });
}

}
