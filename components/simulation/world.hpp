#ifndef COMPONENTS_SIMULATION_WORLD_HPP
#define COMPONENTS_SIMULATION_WORLD_HPP

#include "components/callers/call.hpp"
#include "components/catalog/catalog.hpp"
#include "components/catalog/operator_config_change.hpp"
#include "components/catalog/operator_config_read.hpp"
#include "components/fleet/now.hpp"
#include "components/jobs/job_spec.hpp"
#include "components/jobs/job_state.hpp"
#include "components/metrics/registry.hpp"
#include "components/node/caller_connections.hpp"
#include "components/node/control.hpp"
#include "components/simulation/call_outcome.hpp"
#include "components/simulation/faults.hpp"
#include "components/simulation/fleet_model.hpp"
#include "components/simulation/machine_model.hpp"
#include "components/simulation/store_model.hpp"
#include "components/simulation/world_settings.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace simulation
{

class InstancePorts;

/// Simulates a site in virtual time: instances run the real control code, the platform and the workers are models, and one
/// queue orders all events. The same seed and the same calls give the same run.
class World
{
public:
    explicit World(const WorldSettings &settings);
    ~World();

    World(const World &) = delete;
    World &operator=(const World &) = delete;

    void run(fleet::Duration length);
    /// Runs until the condition holds or `limit` has passed. Returns false if the condition did not hold.
    bool runUntil(const std::function<bool()> &condition, fleet::Duration limit);

    // Callers.
    /// Submits a job through an instance. Returns the number of the call, for outcome().
    int submit(int instance, const jobs::JobSpec &spec, const Behaviour &behaviour);
    int show(int instance, jobs::JobId job);
    int cancel(int instance, jobs::JobId job);
    const CallOutcome &outcome(int call) const;
    bool wasAccepted(int call) const;
    /// Asks the instance for the job's state and waits for its answer.
    std::optional<jobs::JobState> stateOf(int instance, jobs::JobId job);

    // Operators.
    void publish(const catalog::Catalog &catalog);
    /// Publishes the next version of the catalog after a change of it, or of its first account, "account".
    void publishCatalog(const std::function<void(catalog::Catalog &)> &change);
    void publishAccount(const std::function<void(catalog::Account &)> &change);
    void setZoneOut(const fleet::ZoneId &zone, bool isOut);
    void requestUpkeep(const catalog::UpkeepWave &wave);

    // Instances.
    void kill(int instance);
    void restart(int instance);
    void freeze(int instance, fleet::Duration length);
    void requestStop(int instance);
    /// Reports an error of a handler on the instance's network thread.
    void failTraffic(int instance);
    bool isRunning(int instance) const;
    /// Returns the instance that holds the scheduling duty, or -1 if none does.
    int holder() const;
    int instanceCount() const;
    fleet::ZoneId zoneOf(int instance) const;
    bool isReady(int instance) const;

    // Workers.
    void crashWorker(const fleet::WorkerId &worker, bool restarts);
    /// Crashes the worker the given number of times; it is down and up by turns for these times, and keeps its id.
    void crashRepeatedly(const fleet::WorkerId &worker, int times, fleet::Duration downTime, fleet::Duration upTime);
    /// Crashes the worker. Its machine and its address get a new worker with another id; the entry of the old one lapses a little later.
    void replaceWorker(const fleet::WorkerId &worker);
    void setDraining(const fleet::WorkerId &worker, bool isDraining);
    /// The worker reports that it drains and shuts down after this time, and does so.
    void shutDownAfter(const fleet::WorkerId &worker, fleet::Duration length);
    void unlist(const fleet::WorkerId &worker);
    /// Writes an entry of the worker list, or removes one, as any writer may.
    void writeEntry(const workers::WorkerListChange &change);
    void relist(const fleet::WorkerId &worker);
    /// Removes the entry of a worker as after its silence, and has the worker write it again this time after the store has served again.
    void lapseEntry(const fleet::WorkerId &worker, fleet::Duration delay);
    std::vector<fleet::WorkerId> workers() const;

    fleet::BootTime now() const;
    std::mt19937 &random();
    double randomFraction();

    Faults m_faults;
    StoreModel m_store;
    FleetModel m_fleet;
    MachineModel m_machines;
    /// API key that calls are made with, and how long callers wait for an answer.
    std::string m_callerKey = "key";
    fleet::Duration m_callTimeout {3000};
    /// Prints each log line of the instances, to debug a failed test.
    bool m_trace = false;
    /// Number of polls that workers answered.
    int m_answeredPolls = 0;
    /// Number of journal reads that instances sent.
    int m_journalReads = 0;
    /// Number of reads of the worker list that holders sent.
    int m_workerListReads = 0;
    /// Number of reads of the operators' log that instances sent, and of the changes that their answers held.
    int m_operatorReads = 0;
    std::size_t m_operatorChangesRead = 0;
    /// Number of log lines of each event, with "part/event" as key.
    std::map<std::string, int> m_logCounts;
    /// Latest log line of each event, with the same keys.
    std::map<std::string, std::string> m_lastLogLines;
    /// What each instance sees as the connections of its callers.
    node::CallerConnections m_callerConnections;

private:
    friend class InstancePorts;

    struct Instance
    {
        std::unique_ptr<metrics::Registry> m_registry;
        std::unique_ptr<InstancePorts> m_ports;
        std::unique_ptr<node::Control> m_control;
        fleet::BootTime m_frozenUntil;
        std::vector<node::Event> m_deferredEvents;
        std::uint64_t m_incarnation = 0;
        bool m_isReady = false;
    };

    void schedule(fleet::Duration delay, std::function<void()> action);
    void deliver(int instance, std::uint64_t incarnation, const node::Event &event);
    void tick(int instance, std::uint64_t incarnation);
    fleet::Now currentTime(int instance) const;
    fleet::Duration oneWayLatency() const;
    int sendCall(int instance, callers::Call content);
    catalog::OperatorConfigRead readOperatorLog(std::optional<std::uint64_t> from);
    workers::WorkerListRead readWorkerListLog(std::optional<std::uint64_t> from);
    void appendToWorkerList(const fleet::WorkerId &worker);
    void restoreEntry(const fleet::WorkerId &worker, fleet::Duration delay);
    /// Has a worker that has just started write its entry, once it reaches the store.
    void announce(const fleet::WorkerId &worker);
    machines::UpkeepOutcome beginUpkeep(const machines::UpkeepOrder &order);
    void recordReport(const machines::WaveReport &report);
    node::Settings settingsOf(int instance);

    WorldSettings m_settings;
    std::mt19937 m_random;
    fleet::BootTime m_now;
    std::multimap<fleet::BootTime, std::function<void()>> m_queue;
    std::vector<Instance> m_instances;
    std::vector<CallOutcome> m_outcomes;
    std::map<std::pair<int, std::uint64_t>, int> m_openCalls;
    std::uint64_t m_nextCall = 1;
    catalog::Catalog m_catalog;
    std::vector<catalog::OperatorConfigChange> m_operatorLog;
    std::map<std::uint64_t, catalog::UpkeepWave> m_waves;
    std::vector<workers::WorkerListChange> m_workerListLog;
    std::uint64_t m_lastIncarnation = 0;
};

}

#endif
