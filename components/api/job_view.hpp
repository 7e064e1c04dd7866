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

/// One line of a job's history.
struct HistoryLine
{
    fleet::TimePoint m_at;
    std::string m_text;

    bool operator==(const HistoryLine &) const = default;
};

/// What an instance knows of one job.
struct JobView
{
    fleet::JobSpec m_spec;
    /// Empty while no zone has been chosen.
    fleet::ZoneId m_zone;
    /// Number of the present or last attempt; 0 where none was made.
    int m_attempt = 0;
    /// True between the start of an attempt and its end.
    bool m_running = false;
    /// Worker of each task of the present or last attempt.
    std::vector<fleet::WorkerId> m_workers;
    std::optional<scheduler::JobOutcome> m_outcome;
    fleet::TimePoint m_endedAt;
    /// Why it waits or how it ended, in one sentence.
    std::string m_reason;
    std::vector<HistoryLine> m_history;

    bool operator==(const JobView &) const = default;
};

/// "waiting", "running" or "ended".
std::string_view phaseName(const JobView &job);
/// "done", "failed", "cancelled" or "cannot-run".
std::string_view outcomeName(scheduler::JobOutcome outcome);
/// An ended job either never started or did run; nothing is said of one that has not ended.
RunState runStateOf(const JobView &job);

}

#endif
