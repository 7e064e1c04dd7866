#ifndef COMPONENTS_DISPATCH_OUTBOX_HPP
#define COMPONENTS_DISPATCH_OUTBOX_HPP

#include "components/dispatch/run_counts.hpp"
#include "components/dispatch/work_counts.hpp"
#include "components/jobs/job_id.hpp"
#include "components/journal/record.hpp"
#include "components/logging/line.hpp"
#include "components/machines/upkeep_order.hpp"
#include "components/machines/wave_report.hpp"
#include "components/workers/advice_question.hpp"
#include "components/workers/poll_order.hpp"
#include "components/workers/start_order.hpp"
#include "components/workers/stop_order.hpp"

#include <cstdint>
#include <set>
#include <vector>

namespace dispatch
{

/// Records to append and messages to send after an event.
struct Outbox
{
    /// Number of the batch of records, which is appended as a whole; 0 if there are no records.
    std::uint64_t m_batch = 0;
    std::vector<journal::Record> m_records;
    /// Jobs that the records end: before the batch is stored, callers must not learn of it.
    std::set<jobs::JobId> m_endedJobs;
    std::vector<workers::StartOrder> m_starts;
    std::vector<workers::StopOrder> m_stops;
    std::vector<workers::PollOrder> m_polls;
    std::vector<workers::AdviceQuestion> m_questions;
    /// Orders without the holder's name; the sender fills it in.
    std::vector<machines::UpkeepOrder> m_upkeeps;
    std::vector<machines::WaveReport> m_reports;
    /// A worker has seen a higher fencing token, so another instance holds the duty.
    bool m_isFenced = false;
    std::vector<logging::Line> m_log;
    RunCounts m_counts;
    WorkCounts m_work;
};

}

#endif
