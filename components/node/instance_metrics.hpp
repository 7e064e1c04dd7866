#ifndef COMPONENTS_NODE_INSTANCE_METRICS_HPP
#define COMPONENTS_NODE_INSTANCE_METRICS_HPP

#include "components/fleet/now.hpp"
#include "components/node/events.hpp"
#include "components/node/instance_stats.hpp"

#include <set>
#include <vector>

namespace metrics
{
class Registry;
}

namespace node
{

/// Metrics of the control thread: handled events, answers to callers, durations of calls and the state of the instance. Used
/// on the control thread only.
class InstanceMetrics
{
public:
    /// `registry` must outlive this object.
    explicit InstanceMetrics(metrics::Registry &registry);

    void count(const Event &event, fleet::Now now);
    /// Counts an answer to a caller and its duration.
    void countAnswer(const char *call, const char *outcome, fleet::Duration took);
    /// Counts an error that nobody expected, by the part of the program that it ended.
    void countUnexpectedError(const char *where);
    /// Sets the gauges. Counts a change of the holder if the token differs from that of the previous call.
    void publish(const InstanceStats &stats);

private:
    void countCall(const char *call, const char *outcome, fleet::Duration took);
    void countRefusedEntries(const workers::WorkerListRead &read);
    void publishRunCounts(const dispatch::RunCounts &counts);
    void publishWorkCounts(const dispatch::WorkCounts &counts);
    void publishAccounts(const std::vector<dispatch::AccountStats> &accounts);
    void countOrder(const char *order, const char *outcome);

    metrics::Registry &m_registry;
    InstanceStats m_lastStats;
    /// Accounts with metrics of their own.
    std::set<fleet::AccountId> m_publishedAccounts;
    /// More accounts had figures than have metrics of their own.
    bool m_hasOtherAccounts = false;
    bool m_hasPublishedRunCounts = false;
};

}

#endif
