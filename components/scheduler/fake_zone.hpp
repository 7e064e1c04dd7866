#ifndef COMPONENTS_SCHEDULER_FAKE_ZONE_HPP
#define COMPONENTS_SCHEDULER_FAKE_ZONE_HPP

#include "components/scheduler/fake_worker.hpp"
#include "components/scheduler/state.hpp"
#include "components/scheduler/step.hpp"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace scheduler::test
{

using namespace std::chrono_literals;

/// One scheduler, fake workers and the messages between them, which may be delayed, reordered, lost or repeated.
///
/// Checks invariants at every step and keeps the first violation in `m_violation`.
class FakeZone
{
public:
    explicit FakeZone(unsigned seed);

    /// Advances the time by `length`, with a tick and a message to every worker each second.
    void run(fleet::Duration length);
    void apply(const Event &event);

    void addWorker(int rack);
    void removeWorker(int index);
    void submit(const fleet::JobSpec &spec, fleet::Duration runTime, bool isBad);
    void cancel(int index);
    /// Repeats the arrival of a job that the scheduler still has or remembers as ended.
    void repeatArrival(int index);
    void allowStarts(bool allowed);
    /// Another instance takes over: rebuilds the state from the records and the workers' reports.
    void changeHolder();
    /// Stops the scheduler for `length` while the workers continue.
    void pause(fleet::Duration length);

    bool isRunning(const fleet::JobId &job) const;

    State m_state;
    fleet::TimePoint m_now {1'000'000s};
    std::vector<FakeWorker> m_workers;
    std::vector<ZoneAccount> m_accounts;
    std::map<fleet::JobId, fleet::JobSpec> m_specs;
    std::map<fleet::JobId, JobOutcome> m_outcomes;
    /// Probability that a message is lost, and that a report is repeated.
    double m_faultRate = 0;
    fleet::Duration m_maxDelay {20};
    std::string m_violation;

private:
    struct Delivery
    {
        int m_worker = 0;
        std::vector<WorkerCommand> m_commands;
        fleet::TimePoint m_sentAt;
    };

    void advance(fleet::Duration length);
    void send(std::vector<Action> actions, bool pollsAll);
    void deliver(const Delivery &delivery);
    void record(const Action &action);
    bool chance(double probability);
    fleet::Duration delay();

    void fail(const std::string &rule);
    void checkActions(const std::vector<Action> &actions);
    void checkStart(const TaskRef &task);
    void checkRenewals(const std::vector<Action> &actions);
    void checkWorkers();
    void checkAllocations();
    void checkGuarantees();

    std::mt19937 m_random;
    int m_nextWorker = 0;
    bool m_startsAllowed = false;
    std::multimap<fleet::TimePoint, Delivery> m_commandsInFlight;
    std::multimap<fleet::TimePoint, WorkerReported> m_reportsInFlight;
    std::map<fleet::JobId, fleet::Duration> m_runTimes;
    std::map<fleet::JobId, bool> m_isBad;
    std::map<fleet::JobId, int> m_recordedAttempts;
    std::map<TaskRef, TaskPhase> m_reported;
    /// Since when a gang runs incompletely, by job and attempt.
    std::map<std::pair<fleet::JobId, int>, fleet::TimePoint> m_incompleteSince;
};

}

#endif
