#ifndef COMPONENTS_INSTANCES_DUTY_SITE_HPP
#define COMPONENTS_INSTANCES_DUTY_SITE_HPP

#include "components/duty/state.hpp"
#include "components/duty/step.hpp"
#include "components/instances/message_queue.hpp"
#include "components/membership/state.hpp"
#include "components/membership/step.hpp"
#include "components/records/batcher.hpp"
#include "components/records/stream_reader.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace instances
{

/// A worker with capacity for one task of the model's only job.
struct ModelWorker
{
    std::uint64_t m_token = 0;
    /// Reserved or running until this time.
    fleet::TimePoint m_leaseEnd;
    bool m_running = false;
};

/// An instance with a scheduler of one job.
struct DutyInstance
{
    membership::State m_membership;
    duty::State m_duty;
    records::StreamReader m_records;
    records::Batcher m_batcher;
    fleet::TimePoint m_pausedUntil;
    bool m_logReachable = true;
    std::vector<bool> m_workerReachable;
    /// The token under which this instance schedules; 0 while it does not schedule.
    std::uint64_t m_token = 0;
    /// The worker on which this instance reserved or started the job, or found it running.
    std::optional<int> m_worker;
    bool m_started = false;
    fleet::TimePoint m_sentAt;
};

/// Simulates the instances of one zone, its workers and the log, with network partitions, pauses and log outages. Checks that
/// the job never runs on two workers at once.
class DutySite
{
public:
    explicit DutySite(std::uint64_t seed);

    void run();

    const std::string &violation() const
    {
        return m_violation;
    }

    /// Number of times that the job was started.
    int starts() const
    {
        return m_starts;
    }

    /// Number of accepted claims.
    int claims() const
    {
        return m_claims;
    }

private:
    void tick(int instance);
    void applyMembership(int instance, const membership::Event &event);
    void applyDuty(int instance, const duty::Event &event);
    void exchangeLog(int instance);
    void schedule(int instance);
    void command(int instance, int worker, const std::string &kind);
    void answer(int instance, int worker, std::uint64_t token, const ModelWorker &report);
    void whenAwake(int instance, const std::function<void()> &action);
    void changeFaults();
    void checkJobRunsOnce();
    bool isRunning(const ModelWorker &worker) const;

    MessageQueue m_queue;
    std::vector<DutyInstance> m_instances;
    std::vector<ModelWorker> m_workers;
    std::vector<std::string> m_log;
    std::vector<std::vector<bool>> m_isConnected;
    int m_starts = 0;
    int m_claims = 0;
    std::string m_violation;
};

}

#endif
