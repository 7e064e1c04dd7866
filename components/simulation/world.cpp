#include "components/simulation/world.hpp"

#include "components/node/ports.hpp"

#include <algorithm>
#include <iostream>
#include <span>
#include <stdexcept>

namespace simulation
{

namespace
{

using namespace std::chrono_literals;

constexpr fleet::Duration storeTimeout {2500};
constexpr fleet::Duration readTimeout {1000};
constexpr fleet::Duration orderTimeout {600};
constexpr fleet::Duration adviceTimeout {4000};
constexpr fleet::Duration adviceLatency {50};
constexpr fleet::Duration upkeepDuration {2000};
/// Processor share of an instance in thousandths of a core.
constexpr std::uint32_t strongInstanceMilliCores = 500;
constexpr std::uint32_t weakInstanceMilliCores = 120;
constexpr fleet::Duration listDelay {300};
/// Pause before a worker without the store tries to write its entry again, and time after which the entry of a silent one lapses.
constexpr fleet::Duration listRetryDelay {100};
constexpr fleet::Duration lapseDelay {1500};
const std::string queueHost = "queues.example";
const std::string queuePath = "/jobs/";
constexpr std::int64_t wallClockStartMs = 1'700'000'000'000;

/// Id of the worker that follows on the machine if this one is replaced.
fleet::WorkerId successorOf(const fleet::WorkerId &worker)
{
    return fleet::WorkerId(worker.value() + "-next");
}

bool reachesStore(const Faults &faults, int instance)
{
    return faults.m_store != StoreMode::Unresponsive && !faults.m_cutFromStore.contains(instance);
}

bool isPartitioned(const Faults &faults, const fleet::ZoneId &a, const fleet::ZoneId &b)
{
    return a != b && (faults.m_partitionedZones.contains(a) || faults.m_partitionedZones.contains(b));
}

/// Identifies what an entry of the operators' log sets, as its key does in the store.
std::string keyOf(const catalog::OperatorConfigChange &change)
{
    if (const auto *zone = std::get_if<catalog::ZoneChange>(&change)) {
        return "zone/" + zone->m_zone.value();
    }
    if (const auto *wave = std::get_if<catalog::WaveChange>(&change)) {
        return wave->m_key;
    }
    return "catalog";
}

/// Returns the newest entry of each key.
std::vector<catalog::OperatorConfigChange> newestOf(const std::vector<catalog::OperatorConfigChange> &log)
{
    std::map<std::string, catalog::OperatorConfigChange> byKey;
    for (const catalog::OperatorConfigChange &change : log) {
        byKey.insert_or_assign(keyOf(change), change);
    }
    std::vector<catalog::OperatorConfigChange> newest;
    newest.reserve(byKey.size());
    for (const auto &[key, change] : byKey) {
        newest.push_back(change);
    }
    return newest;
}

/// Returns the records that a read from an offset holds; a limit of 0 is none.
template<class Record>
std::span<const Record> recordsFrom(const std::vector<Record> &log, std::uint64_t from, std::size_t limit)
{
    const std::span<const Record> rest = std::span<const Record>(log).subspan(std::min<std::size_t>(from, log.size()));
    return limit > 0 && limit < rest.size() ? rest.first(limit) : rest;
}

bool isRefusedByStore(const Faults &faults, int instance)
{
    return faults.m_store == StoreMode::Busy || faults.m_refusedByStore.contains(instance);
}

}

/// Ports of one instance. Every call and answer passes through the world's event queue with a delay.
class InstancePorts : public node::Ports
{
public:
    InstancePorts(World &world, int instance, std::uint64_t incarnation)
        : m_world(world)
        , m_instance(instance)
        , m_incarnation(incarnation)
    {
    }

    void append(const store::AppendCall &call, const node::AppendTag &tag, fleet::BootTime now) override
    {
        throwIfDue(m_world.m_faults.m_throwingAppends);
        const Faults &faults = m_world.m_faults;
        if (!reachesStore(faults, m_instance)) {
            deliverAfter(storeTimeout, node::AppendEnded {tag, now, {}});
            return;
        }
        if (isRefusedByStore(faults, m_instance)) {
            store::AppendResult refused;
            refused.m_outcome = store::AppendOutcome::Refused;
            deliverAfter(m_world.oneWayLatency() * 2, node::AppendEnded {tag, now, refused});
            return;
        }
        const bool isLost = m_world.randomFraction() < faults.m_unansweredAppends;
        const fleet::Duration delay = isLost && faults.m_unansweredAppendsAreDelayed ? fleet::Duration(1000 + m_world.random()() % 5000)
                                                                                     : m_world.oneWayLatency() + faults.m_storeDelay;
        m_world.schedule(delay, [call, tag, now, isLost, world = &m_world, instance = m_instance, incarnation = m_incarnation] {
            const store::AppendResult result = simulation::append(world->m_store, call);
            if (!isLost) {
                world->schedule(world->oneWayLatency(), [world, instance, incarnation, tag, now, result] {
                    world->deliver(instance, incarnation, node::AppendEnded {tag, now, result});
                });
            }
        });
        if (isLost) {
            deliverAfter(storeTimeout, node::AppendEnded {tag, now, {}});
        }
    }

    void readJournal(const store::ReadCall &call, fleet::BootTime now) override
    {
        throwIfDue(m_world.m_faults.m_throwingReads);
        ++m_world.m_journalReads;
        readFromStore<store::ReadResult>(
            [call](World &world) {
                return simulation::read(world.m_store, call);
            },
            [call, now](const store::ReadResult &result) {
                return node::JournalRead {call, now, result};
            });
    }

    void readOperators(std::optional<std::uint64_t> from, fleet::Duration wait, fleet::BootTime now) override
    {
        throwIfDue(m_world.m_faults.m_throwingReads);
        waitForOperators(from, wait, now);
    }

    void waitForOperators(std::optional<std::uint64_t> from, fleet::Duration wait, fleet::BootTime now)
    {
        if (m_world.m_faults.m_areOperatorReadsUnanswered) {
            deliverAfter(readTimeout, node::OperatorsReadEnded {now, {}});
            return;
        }
        if (from && *from == m_world.m_operatorLog.size() && wait.count() > 0 && reachesStore(m_world.m_faults, m_instance)) {
            // Polls for a change in steps, since the model of the store has no waiting reads.
            const fleet::Duration step = std::min(wait, fleet::Duration(50));
            m_world.schedule(step, [world = &m_world, instance = m_instance, incarnation = m_incarnation, from, wait, step, now] {
                if (incarnation == world->m_instances[instance].m_incarnation && world->m_instances[instance].m_ports) {
                    world->m_instances[instance].m_ports->waitForOperators(from, wait - step, now);
                }
            });
            return;
        }
        ++m_world.m_operatorReads;
        readFromStore<catalog::OperatorConfigRead>(
            [from](World &world) {
                return world.readOperatorLog(from);
            },
            [now](const catalog::OperatorConfigRead &read) {
                return node::OperatorsReadEnded {now, read};
            });
    }

    void readWorkerList(std::optional<std::uint64_t> from, fleet::BootTime now) override
    {
        ++m_world.m_workerListReads;
        readFromStore<workers::WorkerListRead>(
            [from](World &world) {
                return world.readWorkerListLog(from);
            },
            [now](const workers::WorkerListRead &read) {
                return node::WorkerListReadEnded {now, read};
            });
    }

    void readKeyed(const store::Topic &topic, fleet::BootTime now) override
    {
        throwIfDue(m_world.m_faults.m_throwingReads);
        readFromStore<node::KeyedReadEnded>(
            [topic, now](World &world) {
                return node::KeyedReadEnded {now, store::ReadOutcome::Read, newest(world.m_store, topic)};
            },
            [now](const node::KeyedReadEnded &read) {
                return node::KeyedReadEnded {now, read.m_outcome, read.m_records};
            });
    }

    void start(const workers::StartOrder &order) override
    {
        throwIfDue(m_world.m_faults.m_throwingStarts);
        sendOrder(order, [](FleetModel &fleet, const workers::StartOrder &sent, fleet::BootTime now) {
            return simulation::start(fleet, sent, now);
        });
    }

    void stop(const workers::StopOrder &order) override
    {
        sendOrder(order, [](FleetModel &fleet, const workers::StopOrder &sent, fleet::BootTime now) {
            return simulation::stop(fleet, sent, now);
        });
    }

    void poll(const workers::PollOrder &order, fleet::BootTime now) override
    {
        if (isAnsweredByAnother(m_world, m_instance, order.m_target.m_worker)) {
            workers::PollResult other;
            other.m_outcome = workers::PollOutcome::OtherIncarnation;
            deliverAfter(m_world.oneWayLatency() * 2, node::PollEnded {order, now, other});
            return;
        }
        if (!isReachable(m_world, m_instance, order.m_target.m_worker)) {
            deliverAfter(orderTimeout + order.m_wait, node::PollEnded {order, now, {}});
            return;
        }
        const bool isLate = isDue(m_world, m_world.m_faults.m_delayedPolls);
        const bool isUnanswered = !isLate && isDue(m_world, m_world.m_faults.m_unansweredOrders);
        if (isLate || isUnanswered) {
            const auto execute = [](FleetModel &fleet, const workers::PollOrder &sent, fleet::BootTime at) {
                simulation::poll(fleet, sent, at);
            };
            if (isUnanswered) {
                executeAfter(m_world.oneWayLatency(), order, execute);
            }
            if (isLate || isDue(m_world, m_world.m_faults.m_repeatedOrders)) {
                executeAfter(lateness(m_world), order, execute);
            }
            deliverAfter(orderTimeout + order.m_wait, node::PollEnded {order, now, {}});
            return;
        }
        m_world.schedule(m_world.oneWayLatency(), [world = &m_world, instance = m_instance, incarnation = m_incarnation, order, now] {
            const auto worker = world->m_fleet.m_workers.find(order.m_target.m_worker);
            if (worker != world->m_fleet.m_workers.end()) {
                answerPoll(*world, instance, incarnation, order, now, order.m_wait, worker->second.m_registration.m_incarnation);
            }
        });
    }

    void orderUpkeep(const machines::UpkeepOrder &order) override
    {
        const bool isLost = m_world.randomFraction() < m_world.m_faults.m_unansweredUpkeeps;
        if (isLost) {
            m_world.schedule(m_world.oneWayLatency() + m_world.m_faults.m_upkeepDelay, [world = &m_world, order] {
                world->beginUpkeep(order);
            });
            deliverAfter(orderTimeout, node::UpkeepEnded {order, machines::UpkeepOutcome::Unknown});
            return;
        }
        if (m_world.m_faults.m_areUpkeepsRefused) {
            deliverAfter(m_world.oneWayLatency() * 2, node::UpkeepEnded {order, machines::UpkeepOutcome::Refused});
            return;
        }
        m_world.schedule(m_world.oneWayLatency(), [world = &m_world, order, instance = m_instance, incarnation = m_incarnation] {
            const node::UpkeepEnded ended {order, world->beginUpkeep(order)};
            world->schedule(world->oneWayLatency(), [world, instance, incarnation, ended] {
                world->deliver(instance, incarnation, ended);
            });
        });
    }

    void reportWave(const machines::WaveReport &report, fleet::FencingToken token) override
    {
        const bool isServed = reachesStore(m_world.m_faults, m_instance) && !isRefusedByStore(m_world.m_faults, m_instance);
        if (isServed) {
            m_world.recordReport(report);
        }
        deliverAfter(m_world.oneWayLatency() * 2, node::WaveReported {report, token, isServed});
    }

    void requestAdvice(const workers::AdviceQuestion &question, fleet::BootTime now) override
    {
        if (m_world.m_faults.m_isAdviceUnavailable) {
            deliverAfter(adviceTimeout, node::AdviceEnded {question, now, {}});
            return;
        }
        deliverAfter(adviceLatency, node::AdviceEnded {question, now, simulation::advise(m_world.m_fleet, question)});
    }

    void sendDatagram(const std::string &address, std::string bytes) override
    {
        throwIfDue(m_world.m_faults.m_throwingDatagrams);
        const int target = std::stoi(address);
        if (m_world.randomFraction() < m_world.m_faults.m_lostDatagrams
            || isPartitioned(m_world.m_faults, m_world.zoneOf(m_instance), m_world.zoneOf(target))) {
            return;
        }
        m_world.schedule(m_world.oneWayLatency(), [world = &m_world, target, bytes = std::move(bytes)] {
            world->deliver(target, world->m_instances[static_cast<std::size_t>(target)].m_incarnation, node::DatagramArrived {bytes});
        });
    }

    void reply(std::uint64_t call, const callers::Reply &reply) override
    {
        throwIfDue(m_world.m_faults.m_throwingReplies);
        const auto open = m_world.m_openCalls.find({m_instance, call});
        if (open != m_world.m_openCalls.end()) {
            CallOutcome &outcome = m_world.m_outcomes[static_cast<std::size_t>(open->second)];
            outcome.m_reply = reply;
            outcome.m_answeredAt = m_world.m_now;
            m_world.m_openCalls.erase(open);
        }
    }

    void setReady(bool isReady) override
    {
        m_world.m_instances[static_cast<std::size_t>(m_instance)].m_isReady = isReady;
    }

    void stopAccepting() override
    {
    }

    bool isDrained() const override
    {
        return true;
    }

    node::CallerConnections callerConnections() const override
    {
        return m_world.m_callerConnections;
    }

    void log(const logging::Line &line, fleet::Now) override
    {
        if (m_world.m_trace) {
            std::cout << m_world.m_now.time_since_epoch().count() << " i" << m_instance << ' ' << line.text() << '\n';
        }
        const std::string event = std::string(line.part()) + '/' + line.event();
        ++m_world.m_logCounts[event];
        m_world.m_lastLogLines[event] = line.text();
    }

private:
    /// Throws as an error in the code of the instance would, if the fault has any throws left.
    static void throwIfDue(int &throws)
    {
        if (throws > 0) {
            --throws;
            throw std::out_of_range("no such run");
        }
    }

    /// Returns the order as it counts while the poll waits: it has had its effects as it arrived.
    static workers::PollOrder withoutEffects(workers::PollOrder order)
    {
        order.m_leaseUntilMs.reset();
        order.m_acknowledgedUpTo = 0;
        return order;
    }

    /// Answers a poll that the given incarnation of the worker has received, or lets it wait.
    static void answerPoll(World &world,
                           int instance,
                           std::uint64_t incarnation,
                           const workers::PollOrder &order,
                           fleet::BootTime sentAt,
                           fleet::Duration wait,
                           const workers::WorkerIncarnation &receiver,
                           bool isWaiting = false)
    {
        const ModelWorker &worker = world.m_fleet.m_workers.at(order.m_target.m_worker);
        if (!worker.m_isUp) {
            return;
        }
        if (worker.m_registration.m_incarnation != receiver) {
            // The connection ended with the process that had received the poll.
            world.schedule(world.oneWayLatency(), [&world, instance, incarnation, order, sentAt] {
                world.deliver(instance, incarnation, node::PollEnded {order, sentAt, {}});
            });
            return;
        }
        advance(world.m_fleet, world.m_now);
        const workers::PollResult result = simulation::poll(world.m_fleet, isWaiting ? withoutEffects(order) : order, world.m_now);
        const bool isAnswered = !result.m_ended.empty() || wait.count() <= 0 || result.m_outcome != workers::PollOutcome::Answered;
        if (!isAnswered) {
            const fleet::Duration step = std::min(wait, fleet::Duration(20));
            world.schedule(step, [&world, instance, incarnation, order, sentAt, wait, step, receiver] {
                answerPoll(world, instance, incarnation, order, sentAt, wait - step, receiver, true);
            });
            return;
        }
        if (!isReachable(world, instance, order.m_target.m_worker)) {
            world.schedule(orderTimeout, [&world, instance, incarnation, order, sentAt] {
                world.deliver(instance, incarnation, node::PollEnded {order, sentAt, {}});
            });
            return;
        }
        ++world.m_answeredPolls;
        world.schedule(world.oneWayLatency(), [&world, instance, incarnation, order, sentAt, result] {
            world.deliver(instance, incarnation, node::PollEnded {order, sentAt, result});
        });
    }

    static bool isReachable(const World &world, int instance, const fleet::WorkerId &worker)
    {
        const auto found = world.m_fleet.m_workers.find(worker);
        return found != world.m_fleet.m_workers.end() && found->second.m_isUp && !world.m_faults.m_unreachableWorkers.contains(worker)
            && !world.m_faults.m_unreachableFrom.contains({instance, worker})
            && !isPartitioned(world.m_faults, world.zoneOf(instance), found->second.m_registration.m_zone);
    }

    /// Draws whether a fault of the given share happens. Draws nothing while there is none, so that the other draws of a seed stay as they are.
    static bool isDue(World &world, double share)
    {
        return share > 0 && world.randomFraction() < share;
    }

    static fleet::Duration lateness(World &world)
    {
        return fleet::Duration(2000 + world.random()() % 10'000);
    }

    /// Has whichever incarnation of the worker is up after the delay carry out the order, without an answer.
    template<class Order, class CarryOut>
    void executeAfter(fleet::Duration delay, const Order &order, CarryOut execute)
    {
        m_world.schedule(delay, [world = &m_world, order, execute] {
            const auto worker = world->m_fleet.m_workers.find(order.m_target.m_worker);
            if (worker == world->m_fleet.m_workers.end() || !worker->second.m_isUp) {
                return;
            }
            advance(world->m_fleet, world->m_now);
            execute(world->m_fleet, order, world->m_now);
            advance(world->m_fleet, world->m_now);
        });
    }

    /// True if another worker has the address of this one, and can be reached.
    static bool isAnsweredByAnother(const World &world, int instance, const fleet::WorkerId &worker)
    {
        const auto next = world.m_fleet.m_workers.find(successorOf(worker));
        return next != world.m_fleet.m_workers.end() && isReachable(world, instance, next->first);
    }

    void deliverAfter(fleet::Duration delay, const node::Event &event)
    {
        m_world.schedule(delay, [world = &m_world, instance = m_instance, incarnation = m_incarnation, event] {
            world->deliver(instance, incarnation, event);
        });
    }

    template<class Result, class Make, class ToEvent>
    void readFromStore(Make make, ToEvent toEvent)
    {
        if (!reachesStore(m_world.m_faults, m_instance)) {
            deliverAfter(readTimeout, toEvent(withOutcome<Result>(store::ReadOutcome::NoAnswer)));
            return;
        }
        if (isRefusedByStore(m_world.m_faults, m_instance)) {
            deliverAfter(m_world.oneWayLatency() * 2, toEvent(withOutcome<Result>(store::ReadOutcome::Refused)));
            return;
        }
        m_world.schedule(m_world.oneWayLatency() + m_world.m_faults.m_storeDelay,
                         [world = &m_world, instance = m_instance, incarnation = m_incarnation, make, toEvent] {
                             const Result result = make(*world);
                             world->schedule(world->oneWayLatency(), [world, instance, incarnation, toEvent, result] {
                                 world->deliver(instance, incarnation, toEvent(result));
                             });
                         });
    }

    template<class Result>
    static Result withOutcome(store::ReadOutcome outcome)
    {
        Result result;
        result.m_outcome = outcome;
        return result;
    }

    static node::Event endedEvent(const workers::StartOrder &order, const workers::OrderResult &result)
    {
        return node::StartEnded {order, result};
    }

    static node::Event endedEvent(const workers::StopOrder &order, const workers::OrderResult &result)
    {
        return node::StopEnded {order, result};
    }

    template<class Order, class CarryOut>
    void sendOrder(const Order &order, CarryOut execute)
    {
        if (isAnsweredByAnother(m_world, m_instance, order.m_target.m_worker)) {
            deliverAfter(m_world.oneWayLatency() * 2, endedEvent(order, {workers::OrderOutcome::OtherIncarnation, std::nullopt, {}}));
            return;
        }
        if (!isReachable(m_world, m_instance, order.m_target.m_worker)) {
            deliverAfter(orderTimeout, endedEvent(order, {}));
            return;
        }
        if (isDue(m_world, m_world.m_faults.m_unansweredOrders)) {
            executeAfter(m_world.oneWayLatency(), order, execute);
            if (isDue(m_world, m_world.m_faults.m_repeatedOrders)) {
                executeAfter(lateness(m_world), order, execute);
            }
            deliverAfter(orderTimeout, endedEvent(order, {}));
            return;
        }
        const bool isLate = m_world.randomFraction() < m_world.m_faults.m_delayedOrders;
        const fleet::Duration delay = isLate ? fleet::Duration(2000 + m_world.random()() % 10'000) : m_world.oneWayLatency();
        m_world.schedule(delay, [world = &m_world, instance = m_instance, incarnation = m_incarnation, order, execute, isLate] {
            const auto worker = world->m_fleet.m_workers.find(order.m_target.m_worker);
            if (worker == world->m_fleet.m_workers.end() || !worker->second.m_isUp) {
                return;
            }
            advance(world->m_fleet, world->m_now);
            const workers::OrderResult result = execute(world->m_fleet, order, world->m_now);
            advance(world->m_fleet, world->m_now);
            if (!isLate) {
                // The answer of a worker that was cut off meanwhile is lost.
                const bool isAnswered = isReachable(*world, instance, order.m_target.m_worker);
                world->schedule(isAnswered ? world->oneWayLatency() : orderTimeout, [world, instance, incarnation, order, result, isAnswered] {
                    world->deliver(instance, incarnation, endedEvent(order, isAnswered ? result : workers::OrderResult()));
                });
            }
        });
        if (isLate) {
            deliverAfter(orderTimeout, endedEvent(order, {}));
        }
    }

    World &m_world;
    int m_instance;
    std::uint64_t m_incarnation;
};

World::World(const WorldSettings &settings)
    : m_settings(settings)
    , m_random(settings.m_seed)
    , m_now(std::chrono::seconds(1000))
{
    m_fleet.m_leaseLimit = settings.m_bounds.m_dispatch.m_leaseLimit;
    m_fleet.m_gangWait = settings.m_bounds.m_dispatch.m_gangWait;
    m_fleet.m_stopGrace = settings.m_bounds.m_dispatch.m_stopGrace;
    int number = 0;
    for (int zone = 0; zone < settings.m_zones; ++zone) {
        for (int i = 0; i < settings.m_workersPerZone; ++i) {
            ModelWorker worker;
            worker.m_registration.m_incarnation = {fleet::WorkerId("w" + std::to_string(number)), wallClockStartMs + number};
            worker.m_registration.m_service = fleet::ServiceId("service");
            worker.m_registration.m_machine = fleet::MachineId("m" + std::to_string(number));
            worker.m_registration.m_address = "w" + std::to_string(number);
            worker.m_registration.m_zone = fleet::ZoneId("z" + std::to_string(zone));
            worker.m_registration.m_rack = fleet::RackId("r" + std::to_string(zone) + '-' + std::to_string(i / settings.m_workersPerRack));
            worker.m_registration.m_kind = "a";
            const bool isUnlike = number % 2 == 1;
            worker.m_registration.m_capacity = settings.m_workerCapacity * (isUnlike ? settings.m_capacityFactor : 1);
            worker.m_slowness = isUnlike ? settings.m_slownessFactor : 1;
            worker.m_clockBase = static_cast<std::int64_t>(m_random() % 1'000'000);
            worker.m_clockRate = 980 + static_cast<int>(m_random() % 21);
            m_fleet.m_workers[worker.m_registration.m_incarnation.m_worker] = worker;
            appendToWorkerList(worker.m_registration.m_incarnation.m_worker);
            ++number;
        }
    }
    catalog::Catalog catalog;
    catalog.m_version = 1;
    for (int priority = 0; priority < 3; ++priority) {
        catalog::Queue queue;
        queue.m_id = fleet::QueueId("q" + std::to_string(priority));
        queue.m_host = queueHost;
        queue.m_pathPrefix = queuePath + std::to_string(priority) + '/';
        queue.m_service = fleet::ServiceId("service");
        queue.m_priority = priority;
        queue.m_maxAttempts = 3;
        queue.m_stretch = 2;
        queue.m_slack = 1s;
        catalog.m_queues.push_back(queue);
    }
    catalog::Queue advised = catalog.m_queues[1];
    advised.m_id = fleet::QueueId("q3");
    advised.m_pathPrefix = queuePath + "3/";
    advised.m_advice = catalog::AdvicePolicy {20ms, 1ms, 3s};
    catalog.m_queues.push_back(advised);
    catalog.m_services.push_back({fleet::ServiceId("service"), true, false});
    catalog.m_accounts.push_back({fleet::AccountId("account"), {"key"}, 16});
    catalog.m_accounts.back().m_maximum = settings.m_accountMaximum;
    catalog.m_accounts.push_back({fleet::AccountId("other"), {"other-key"}, 16});
    publish(catalog);
    m_instances.resize(static_cast<std::size_t>(settings.m_zones) * static_cast<std::size_t>(settings.m_instancesPerZone));
    for (int i = 0; i < instanceCount(); ++i) {
        restart(i);
    }
}

World::~World() = default;

fleet::ZoneId World::zoneOf(int instance) const
{
    return fleet::ZoneId("z" + std::to_string(instance / m_settings.m_instancesPerZone));
}

node::Settings World::settingsOf(int instance)
{
    node::Settings settings = m_settings.m_bounds;
    settings.m_instance = fleet::InstanceId("i" + std::to_string(instance));
    settings.m_incarnation.m_value = (static_cast<std::uint64_t>(m_random()) << 32U) | m_random();
    settings.m_zone = zoneOf(instance);
    settings.m_peerAddress = std::to_string(instance);
    settings.m_peerKey = "key-of-" + std::to_string(settings.m_incarnation.m_value);
    settings.m_journalRetention = m_settings.m_journalRetention;
    settings.m_milliCores = m_settings.m_strongInstances > 0 && instance >= m_settings.m_strongInstances ? weakInstanceMilliCores : strongInstanceMilliCores;
    return settings;
}

fleet::Duration World::oneWayLatency() const
{
    return m_settings.m_oneWayLatency;
}

fleet::Now World::currentTime(int instance) const
{
    const auto offset = m_faults.m_clockOffsets.find(instance);
    const fleet::Duration ahead = offset == m_faults.m_clockOffsets.end() ? fleet::Duration(0) : offset->second;
    return {m_now, fleet::TimePoint(m_now.time_since_epoch()) + fleet::Duration(wallClockStartMs) + ahead};
}

void World::schedule(fleet::Duration delay, std::function<void()> action)
{
    m_queue.emplace(m_now + delay, std::move(action));
}

void World::deliver(int instance, std::uint64_t incarnation, const node::Event &event)
{
    Instance &target = m_instances[static_cast<std::size_t>(instance)];
    if (!target.m_control || target.m_incarnation != incarnation) {
        return;
    }
    if (m_now < target.m_frozenUntil) {
        target.m_deferredEvents.push_back(event);
        return;
    }
    target.m_control->handle(event, currentTime(instance));
    target.m_control->onEventsHandled(currentTime(instance));
}

void World::tick(int instance, std::uint64_t incarnation)
{
    Instance &target = m_instances[static_cast<std::size_t>(instance)];
    if (!target.m_control || target.m_incarnation != incarnation) {
        return;
    }
    if (m_now < target.m_frozenUntil) {
        m_queue.emplace(target.m_frozenUntil, [this, instance, incarnation] {
            tick(instance, incarnation);
        });
        return;
    }
    for (const node::Event &event : std::exchange(target.m_deferredEvents, {})) {
        target.m_control->handle(event, currentTime(instance));
    }
    target.m_control->tick(currentTime(instance));
    if (target.m_control->isStopped()) {
        kill(instance);
        return;
    }
    m_queue.emplace(target.m_control->nextTick(currentTime(instance)), [this, instance, incarnation] {
        tick(instance, incarnation);
    });
}

void World::run(fleet::Duration length)
{
    const fleet::BootTime end = m_now + length;
    while (!m_queue.empty() && m_queue.begin()->first <= end) {
        const auto next = m_queue.begin();
        m_now = std::max(m_now, next->first);
        const std::function<void()> action = std::move(next->second);
        m_queue.erase(next);
        action();
    }
    m_now = end;
    advance(m_fleet, m_now);
}

bool World::runUntil(const std::function<bool()> &condition, fleet::Duration limit)
{
    const fleet::BootTime end = m_now + limit;
    while (m_now < end) {
        if (condition()) {
            return true;
        }
        run(10ms);
    }
    return condition();
}

int World::sendCall(int instance, callers::Call content)
{
    const int number = static_cast<int>(m_outcomes.size());
    m_outcomes.push_back({m_now, {}, std::nullopt});
    const std::uint64_t id = m_nextCall++;
    m_openCalls[{instance, id}] = number;
    content.m_host = queueHost;
    content.m_key = m_callerKey;
    content.m_timeout = m_callTimeout;
    deliver(instance, m_instances[static_cast<std::size_t>(instance)].m_incarnation, node::CallArrived {id, std::move(content)});
    return number;
}

int World::submit(int instance, const jobs::JobSpec &spec, const Behaviour &behaviour)
{
    m_fleet.m_steps[spec.m_id] = spec.m_steps;
    m_fleet.m_behaviours[spec.m_id] = behaviour;
    for (const catalog::Account &account : m_catalog.m_accounts) {
        if (std::find(account.m_keys.begin(), account.m_keys.end(), m_callerKey) != account.m_keys.end()) {
            m_fleet.m_accounts.emplace(spec.m_id, account.m_id);
        }
    }
    callers::Call content;
    content.m_kind = callers::CallKind::Submit;
    content.m_path = queuePath + spec.m_queue.value().substr(1) + '/' + toString(spec.m_id);
    content.m_submission = callers::Submission {spec.m_payload, spec.m_steps, spec.m_schedule};
    return sendCall(instance, content);
}

int World::show(int instance, jobs::JobId job)
{
    callers::Call content;
    content.m_kind = callers::CallKind::Show;
    content.m_path = queuePath + "0/" + toString(job);
    return sendCall(instance, content);
}

int World::cancel(int instance, jobs::JobId job)
{
    callers::Call content;
    content.m_kind = callers::CallKind::Cancel;
    content.m_path = queuePath + "0/" + toString(job);
    return sendCall(instance, content);
}

const CallOutcome &World::outcome(int call) const
{
    return m_outcomes[static_cast<std::size_t>(call)];
}

bool World::wasAccepted(int call) const
{
    const auto &reply = outcome(call).m_reply;
    return reply && reply->m_kind == callers::ReplyKind::Accepted;
}

std::optional<jobs::JobState> World::stateOf(int instance, jobs::JobId job)
{
    const int number = show(instance, job);
    runUntil(
        [&] {
            return outcome(number).m_reply.has_value();
        },
        3s);
    const auto &reply = outcome(number).m_reply;
    return reply && reply->m_kind == callers::ReplyKind::State ? std::optional(reply->m_state) : std::nullopt;
}

catalog::OperatorConfigRead World::readOperatorLog(std::optional<std::uint64_t> from)
{
    catalog::OperatorConfigRead read;
    read.m_outcome = store::ReadOutcome::Read;
    read.m_isFullRead = !from;
    read.m_end = m_operatorLog.size();
    if (from) {
        const auto records = recordsFrom(m_operatorLog, *from, m_faults.m_recordsPerRead);
        read.m_changes.assign(records.begin(), records.end());
        read.m_next = *from + records.size();
    } else {
        read.m_next = read.m_end;
        read.m_changes = newestOf(m_operatorLog);
    }
    m_operatorChangesRead += read.m_changes.size();
    return read;
}

workers::WorkerListRead World::readWorkerListLog(std::optional<std::uint64_t> from)
{
    workers::WorkerListRead read;
    read.m_outcome = store::ReadOutcome::Read;
    read.m_isFullRead = !from;
    read.m_end = m_workerListLog.size();
    if (from) {
        const auto records = recordsFrom(m_workerListLog, *from, m_faults.m_recordsPerRead);
        read.m_changes.assign(records.begin(), records.end());
        read.m_next = *from + records.size();
    } else {
        // Later entries replace earlier ones.
        read.m_changes = m_workerListLog;
        read.m_next = read.m_end;
    }
    return read;
}

void World::publish(const catalog::Catalog &catalog)
{
    m_catalog = catalog;
    m_operatorLog.emplace_back(catalog);
    for (const catalog::Account &account : catalog.m_accounts) {
        m_fleet.m_maxima[account.m_id].push_back({m_now, account.m_maximum});
    }
}

void World::publishCatalog(const std::function<void(catalog::Catalog &)> &change)
{
    catalog::Catalog next = m_catalog;
    ++next.m_version;
    change(next);
    publish(next);
}

void World::publishAccount(const std::function<void(catalog::Account &)> &change)
{
    publishCatalog([&](catalog::Catalog &catalog) {
        change(catalog.m_accounts.front());
    });
}

void World::setZoneOut(const fleet::ZoneId &zone, bool isOut)
{
    m_operatorLog.emplace_back(catalog::ZoneChange {zone, isOut});
}

void World::requestUpkeep(const catalog::UpkeepWave &wave)
{
    m_waves[wave.m_number] = wave;
    m_operatorLog.emplace_back(catalog::WaveChange {"wave/" + std::to_string(wave.m_number), wave});
}

machines::UpkeepOutcome World::beginUpkeep(const machines::UpkeepOrder &order)
{
    fleet::FencingToken &fence = m_machines.m_fencingTokens[order.m_machine];
    if (order.m_token < fence) {
        return machines::UpkeepOutcome::Fenced;
    }
    fence = order.m_token;
    if (!m_machines.m_startedUpkeeps[order.m_wave].insert(order.m_machine).second) {
        return machines::UpkeepOutcome::Begun;
    }
    const auto found = std::find_if(m_fleet.m_workers.begin(), m_fleet.m_workers.end(), [&](const auto &entry) {
        return entry.second.m_registration.m_machine == order.m_machine;
    });
    const fleet::WorkerId worker = found->first;
    m_machines.m_machinesDown.insert(order.m_machine);
    m_machines.m_maxMachinesDown = std::max(m_machines.m_maxMachinesDown, m_machines.m_machinesDown.size());
    crashWorker(worker, false);
    unlist(worker);
    schedule(upkeepDuration, [this, worker, machine = order.m_machine] {
        m_machines.m_machinesDown.erase(machine);
        m_fleet.m_workers.at(worker).m_isUp = true;
        appendToWorkerList(worker);
    });
    return machines::UpkeepOutcome::Begun;
}

void World::recordReport(const machines::WaveReport &report)
{
    const bool isTrue = !report.m_isCompleted || m_machines.m_startedUpkeeps[report.m_wave].size() == m_waves.at(report.m_wave).m_machines.size();
    m_machines.m_falseReports += isTrue ? 0 : 1;
    m_machines.m_reportedCompletion[report.m_wave] = report.m_isCompleted;
}

void World::kill(int instance)
{
    Instance &target = m_instances[static_cast<std::size_t>(instance)];
    target.m_incarnation = ++m_lastIncarnation;
    target.m_control.reset();
    target.m_ports.reset();
    target.m_deferredEvents.clear();
    target.m_isReady = false;
}

void World::restart(int instance)
{
    Instance &target = m_instances[static_cast<std::size_t>(instance)];
    target = Instance();
    target.m_incarnation = ++m_lastIncarnation;
    target.m_ports = std::make_unique<InstancePorts>(*this, instance, target.m_incarnation);
    target.m_registry = std::make_unique<metrics::Registry>();
    target.m_control = std::make_unique<node::Control>(settingsOf(instance), *target.m_ports, *target.m_registry);
    schedule(fleet::Duration(m_random() % 20), [this, instance, incarnation = target.m_incarnation] {
        tick(instance, incarnation);
    });
}

void World::freeze(int instance, fleet::Duration length)
{
    m_instances[static_cast<std::size_t>(instance)].m_frozenUntil = m_now + length;
}

void World::requestStop(int instance)
{
    deliver(instance, m_instances[static_cast<std::size_t>(instance)].m_incarnation, node::StopRequested {});
}

void World::failTraffic(int instance)
{
    deliver(instance, m_instances[static_cast<std::size_t>(instance)].m_incarnation, node::TrafficFailed {"no such member"});
}

bool World::isRunning(int instance) const
{
    return m_instances[static_cast<std::size_t>(instance)].m_control != nullptr;
}

int World::holder() const
{
    int found = -1;
    for (int i = 0; i < instanceCount(); ++i) {
        const Instance &instance = m_instances[static_cast<std::size_t>(i)];
        if (instance.m_control && m_now >= instance.m_frozenUntil && instance.m_control->holdsDuty()) {
            found = i;
        }
    }
    return found;
}

int World::instanceCount() const
{
    return static_cast<int>(m_instances.size());
}

bool World::isReady(int instance) const
{
    return m_instances[static_cast<std::size_t>(instance)].m_isReady;
}

void World::appendToWorkerList(const fleet::WorkerId &worker)
{
    workers::Registration registration = m_fleet.m_workers.at(worker).m_registration;
    registration.m_clockMs = clockReading(m_fleet.m_workers.at(worker), m_now);
    m_workerListLog.push_back({worker, registration});
}

void World::crashWorker(const fleet::WorkerId &worker, bool restarts)
{
    if (m_fleet.m_workers.contains(successorOf(worker))) {
        return;
    }
    advance(m_fleet, m_now);
    crash(m_fleet, worker, restarts, m_now);
    if (restarts) {
        schedule(listDelay, [this, worker] {
            announce(worker);
        });
    }
}

void World::announce(const fleet::WorkerId &worker)
{
    if (m_faults.m_workersCutFromStore.contains(worker)) {
        schedule(listRetryDelay, [this, worker] {
            announce(worker);
        });
    } else if (m_fleet.m_workers.at(worker).m_isUp) {
        appendToWorkerList(worker);
    }
}

void World::crashRepeatedly(const fleet::WorkerId &worker, int times, fleet::Duration downTime, fleet::Duration upTime)
{
    if (times <= 0) {
        return;
    }
    crashWorker(worker, false);
    schedule(downTime, [this, worker, times, downTime, upTime] {
        // It starts here, with a clock that begins anew.
        crashWorker(worker, true);
        schedule(upTime, [this, worker, times, downTime, upTime] {
            crashRepeatedly(worker, times - 1, downTime, upTime);
        });
    });
}

void World::replaceWorker(const fleet::WorkerId &worker)
{
    if (m_fleet.m_workers.contains(successorOf(worker))) {
        return;
    }
    crashWorker(worker, false);
    ModelWorker next = m_fleet.m_workers.at(worker);
    next.m_isUp = true;
    next.m_registration.m_incarnation.m_worker = successorOf(worker);
    m_fleet.m_workers.emplace(next.m_registration.m_incarnation.m_worker, next);
    schedule(listDelay, [this, id = next.m_registration.m_incarnation.m_worker] {
        announce(id);
    });
    schedule(lapseDelay, [this, worker] {
        if (!m_fleet.m_workers.at(worker).m_isUp) {
            unlist(worker);
        }
    });
}

void World::setDraining(const fleet::WorkerId &worker, bool isDraining)
{
    m_fleet.m_workers.at(worker).m_registration.m_isDraining = isDraining;
    appendToWorkerList(worker);
}

void World::shutDownAfter(const fleet::WorkerId &worker, fleet::Duration length)
{
    m_fleet.m_workers.at(worker).m_registration.m_timeToShutdown = length;
    setDraining(worker, true);
    schedule(length, [this, worker] {
        crashWorker(worker, false);
        unlist(worker);
    });
}

void World::unlist(const fleet::WorkerId &worker)
{
    writeEntry({worker, std::nullopt});
}

void World::writeEntry(const workers::WorkerListChange &change)
{
    m_workerListLog.push_back(change);
}

void World::relist(const fleet::WorkerId &worker)
{
    appendToWorkerList(worker);
}

void World::lapseEntry(const fleet::WorkerId &worker, fleet::Duration delay)
{
    unlist(worker);
    restoreEntry(worker, delay);
}

void World::restoreEntry(const fleet::WorkerId &worker, fleet::Duration delay)
{
    const bool isServed = m_faults.m_store == StoreMode::Available;
    schedule(isServed ? delay : listRetryDelay, [this, worker, delay, isServed] {
        if (isServed) {
            announce(worker);
        } else {
            restoreEntry(worker, delay);
        }
    });
}

std::vector<fleet::WorkerId> World::workers() const
{
    std::vector<fleet::WorkerId> ids;
    for (const auto &[id, worker] : m_fleet.m_workers) {
        ids.push_back(id);
    }
    return ids;
}

fleet::BootTime World::now() const
{
    return m_now;
}

std::mt19937 &World::random()
{
    return m_random;
}

double World::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

}
