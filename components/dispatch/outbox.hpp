#ifndef COMPONENTS_DISPATCH_OUTBOX_HPP
#define COMPONENTS_DISPATCH_OUTBOX_HPP

#include "components/journal/record.hpp"
#include "components/logging/line.hpp"
#include "components/machines/upkeep_order.hpp"
#include "components/machines/wave_report.hpp"
#include "components/workers/advice_question.hpp"
#include "components/workers/poll_order.hpp"
#include "components/workers/start_order.hpp"
#include "components/workers/stop_order.hpp"

#include <cstdint>
#include <vector>

namespace dispatch
{

/// What the holder wants done.
struct Outbox
{
    /// Records of one append, stored as a whole under this number; 0 where there are none.
    std::uint64_t m_batch = 0;
    std::vector<journal::Record> m_records;
    std::vector<workers::StartOrder> m_starts;
    std::vector<workers::StopOrder> m_stops;
    std::vector<workers::PollOrder> m_looks;
    std::vector<workers::AdviceQuestion> m_questions;
    /// The name of the holder is filled in by the sender.
    std::vector<machines::UpkeepOrder> m_upkeeps;
    std::vector<machines::WaveReport> m_reports;
    /// A worker has seen a higher token: another holder gives orders.
    bool m_isFenced = false;
    std::vector<logging::Line> m_log;
};

}

#endif
