#ifndef COMPONENTS_NODE_INSTANCE_STATS_HPP
#define COMPONENTS_NODE_INSTANCE_STATS_HPP

#include "components/dispatch/account_stats.hpp"
#include "components/dispatch/run_counts.hpp"
#include "components/dispatch/run_time_calibration.hpp"
#include "components/dispatch/work_counts.hpp"
#include "components/node/caller_connections.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace node
{

/// State of one instance, for the metrics.
struct InstanceStats
{
    bool m_isReady = false;
    bool m_holdsDuty = false;
    /// Fencing token of the holder, as read from the journal.
    std::uint64_t m_holderToken = 0;
    std::uint64_t m_catalogVersion = 0;
    std::size_t m_zonesOut = 0;
    /// Ages of the views in milliseconds; -1 before the first read.
    std::int64_t m_catalogAge = -1;
    std::int64_t m_journalAge = -1;
    std::uint64_t m_journalEnd = 0;
    std::uint64_t m_unreadableRecords = 0;
    std::size_t m_jobs = 0;
    std::size_t m_openCalls = 0;
    CallerConnections m_callerConnections;
    /// The members from here on are set on the holder only.
    std::size_t m_activeJobs = 0;
    std::size_t m_openRuns = 0;
    std::size_t m_awaitedStarts = 0;
    std::size_t m_workers = 0;
    std::size_t m_silentWorkers = 0;
    std::size_t m_unstoredBatches = 0;
    std::size_t m_waitingSteps = 0;
    std::size_t m_waitingStepsThatWouldFit = 0;
    std::vector<dispatch::AccountStats> m_accounts;
    dispatch::RunTimeCalibration m_calibration;
    /// Workers and classes of tasks of which run times were learned.
    std::size_t m_runTimeWorkers = 0;
    std::size_t m_runTimeClasses = 0;
    /// Start orders without an answer that may still be carried out.
    std::size_t m_unansweredStarts = 0;
    /// Since the start of the process; kept when the duty ends.
    dispatch::RunCounts m_runCounts;
    dispatch::WorkCounts m_workCounts;

    bool operator==(const InstanceStats &) const = default;
};

}

#endif
