#include "components/records/log_state.hpp"

#include "components/records/update_totals.hpp"

#include <algorithm>

namespace records
{

namespace
{

/// Ended jobs are kept this long for callers that ask about them.
constexpr fleet::Duration endedJobRetention = std::chrono::hours(24);

/// A writer without a record for this long has no running process any more, so that its counter is not needed.
constexpr fleet::Duration writerRetention = std::chrono::hours(24 * 3);

/// A record with the state that it is applied to and its place in the log.
struct Context
{
    LogState &m_state;
    const Record &m_record;
    std::uint64_t m_offset = 0;
    fleet::TimePoint m_at;
};

Job *findMutableJob(LogState &state, const fleet::JobId &job)
{
    const auto found = state.m_jobs.find(job);
    return found == state.m_jobs.end() ? nullptr : &found->second;
}

/// Returns why the record's token does not allow it to change the jobs of its zone; empty if it does.
std::string checkToken(const Context &context)
{
    const Holder *holder = context.m_state.findHolder(context.m_record.m_zone);
    if (!holder || holder->m_released || holder->m_token != context.m_record.m_token || holder->m_writer != context.m_record.m_id.m_writer) {
        return "the writer does not hold the scheduling duty of the zone; read the log and claim the duty first";
    }
    return {};
}

/// Finds a job that the record may change. Returns null and sets `reason` if there is none.
Job *findOwnedJob(const Context &context, const fleet::JobId &id, std::string &reason)
{
    reason = checkToken(context);
    if (!reason.empty()) {
        return nullptr;
    }
    Job *job = findMutableJob(context.m_state, id);
    if (!job || job->m_zone != context.m_record.m_zone) {
        reason = "the job does not belong to the zone; read the log again";
        return nullptr;
    }
    if (job->m_phase == JobPhase::Ended) {
        reason = "the job has ended; stop scheduling it";
        return nullptr;
    }
    return job;
}

std::string applyBody(const Context &, const InstanceStarted &)
{
    return {};
}

std::string applyBody(const Context &context, const JobSubmitted &submitted)
{
    Job job;
    job.m_spec = submitted.m_spec;
    job.m_zone = submitted.m_zone;
    if (!context.m_state.m_jobs.emplace(submitted.m_spec.m_id, job).second) {
        return "the job id was used before; submit the job with a new id";
    }
    countSubmission(context.m_state, submitted.m_spec, context.m_at);
    return {};
}

std::string applyBody(const Context &context, const JobCancelled &cancelled)
{
    Job *job = findMutableJob(context.m_state, cancelled.m_job);
    if (!job || job->m_phase == JobPhase::Ended) {
        return "there is no such job or it has ended; check its state";
    }
    job->m_cancelled = true;
    return {};
}

std::string applyBody(const Context &context, const AttemptStarted &started)
{
    std::string reason;
    Job *job = findOwnedJob(context, started.m_job, reason);
    if (!job) {
        return reason;
    }
    if (job->m_phase == JobPhase::Running || started.m_attempt <= job->m_attempts) {
        return "a running attempt or a later one is recorded; end it first";
    }
    job->m_phase = JobPhase::Running;
    job->m_attempts = started.m_attempt;
    job->m_workers = started.m_workers;
    job->m_attemptAt = context.m_record.m_at;
    return {};
}

std::string applyBody(const Context &context, const AttemptEnded &ended)
{
    std::string reason;
    Job *job = findOwnedJob(context, ended.m_job, reason);
    if (!job) {
        return reason;
    }
    if (ended.m_attempt < job->m_attempts) {
        return "a later attempt is recorded; read the log again";
    }
    if (job->m_phase == JobPhase::Running) {
        countAttempt(context.m_state, *job, context.m_record.m_at);
    }
    job->m_phase = JobPhase::Waiting;
    job->m_attempts = ended.m_attempt;
    job->m_checkpointed = std::max(job->m_checkpointed, ended.m_checkpointed);
    job->m_workers.clear();
    job->m_reason = ended.m_reason;
    return {};
}

std::string applyBody(const Context &context, const JobEnded &ended)
{
    std::string reason;
    Job *job = findOwnedJob(context, ended.m_job, reason);
    if (!job) {
        return reason;
    }
    if (job->m_phase == JobPhase::Running) {
        countAttempt(context.m_state, *job, context.m_record.m_at);
    }
    job->m_phase = JobPhase::Ended;
    job->m_attempts = std::max(job->m_attempts, ended.m_attempt);
    job->m_outcome = ended.m_outcome;
    job->m_reason = ended.m_reason;
    job->m_endedAt = context.m_at;
    job->m_workers.clear();
    countEnd(context.m_state, *job, context.m_record.m_at);
    return {};
}

std::string applyBody(const Context &context, const JobMoved &moved)
{
    std::string reason;
    Job *job = findOwnedJob(context, moved.m_job, reason);
    if (!job) {
        return reason;
    }
    if (job->m_phase == JobPhase::Running) {
        return "an attempt runs; end it before the job is moved";
    }
    job->m_zone = moved.m_to;
    return {};
}

std::string applyBody(const Context &context, const SchedulerClaimed &claimed)
{
    if (context.m_offset == 0) {
        return "offset 0 is not a valid fencing token; claim again";
    }
    Holder &holder = context.m_state.m_holders[context.m_record.m_zone];
    if (claimed.m_replaces != holder.m_token) {
        return "another instance claimed the scheduling duty first; leave the duty to it";
    }
    holder = {context.m_record.m_zone, context.m_record.m_id.m_writer, {context.m_offset}, false};
    return {};
}

std::string applyBody(const Context &context, const SchedulerReleased &)
{
    std::string reason = checkToken(context);
    if (reason.empty()) {
        context.m_state.m_holders[context.m_record.m_zone].m_released = true;
    }
    return reason;
}

std::string applyBody(const Context &context, const RequestsCounted &counted)
{
    countRequests(context.m_state, counted, context.m_at);
    return {};
}

}

const Job *LogState::findJob(const fleet::JobId &job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const Holder *LogState::findHolder(const fleet::ZoneId &zone) const
{
    const auto found = m_holders.find(zone);
    return found == m_holders.end() ? nullptr : &found->second;
}

RecordResult apply(LogState &state, const Record &record, std::uint64_t offset, fleet::TimePoint at)
{
    WriterPosition &writer = state.m_writers[record.m_id.m_writer];
    if (record.m_id.m_counter <= writer.m_counter) {
        return {record.m_id, false, "the record was appended before; no action is needed"};
    }
    writer.m_counter = record.m_id.m_counter;
    writer.m_at = at;
    const Context context {state, record, offset, at};
    std::string reason = std::visit(
        [&](const auto &body) {
            return applyBody(context, body);
        },
        record.m_body);
    const bool accepted = reason.empty();
    return {record.m_id, accepted, std::move(reason)};
}

void forgetOld(LogState &state, fleet::TimePoint at)
{
    std::erase_if(state.m_jobs, [&](const auto &entry) {
        return entry.second.m_phase == JobPhase::Ended && entry.second.m_endedAt + endedJobRetention <= at;
    });
    std::erase_if(state.m_writers, [&](const auto &entry) {
        return entry.second.m_at + writerRetention <= at;
    });
}

}
