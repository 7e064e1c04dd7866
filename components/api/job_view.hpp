#ifndef COMPONENTS_API_JOB_VIEW_HPP
#define COMPONENTS_API_JOB_VIEW_HPP

#include "components/api/run_state.hpp"
#include "components/fleet/job_spec.hpp"
#include "components/scheduler/job_outcome.hpp"

#include <optional>
#include <string>
#include <vector>

namespace api
{

/// One event in the history of a job.
struct HistoryLine
{
    fleet::TimePoint m_at;
    std::string m_text;

    bool operator==(const HistoryLine &) const = default;
};

/// State of one job as seen by an instance.
struct JobView
{
    fleet::JobSpec m_spec;
    /// Empty until a zone is chosen.
    fleet::ZoneId m_zone;
    /// Number of the current or last attempt; 0 if there was none.
    int m_attempt = 0;
    /// True between the start of an attempt and its end.
    bool m_running = false;
    /// Worker of each task of the current or last attempt.
    std::vector<fleet::WorkerId> m_workers;
    std::optional<scheduler::JobOutcome> m_outcome;
    fleet::TimePoint m_endedAt;
    /// Why the job waits or how it ended, in one sentence.
    std::string m_reason;
    std::vector<HistoryLine> m_history;

    bool operator==(const JobView &) const = default;
};

/// "waiting", "running" or "ended".
std::string_view phaseName(const JobView &job);
/// "done", "failed", "cancelled" or "cannot-run".
std::string_view outcomeName(scheduler::JobOutcome outcome);
/// Returns NotApplicable until the job has ended, then DidNotRun if it had no attempt, else Done.
RunState runStateOf(const JobView &job);

}

#endif
