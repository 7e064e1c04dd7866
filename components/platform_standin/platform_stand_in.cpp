#include "components/platform_standin/platform_stand_in.hpp"

#include "components/http/client.hpp"
#include "components/http/io_thread.hpp"
#include "components/http/request.hpp"
#include "components/http/request_target.hpp"
#include "components/http/responder.hpp"
#include "components/http/response.hpp"
#include "components/http/result.hpp"
#include "components/http/server.hpp"
#include "components/jobs/job_id.hpp"
#include "components/node/clocks.hpp"
#include "components/platform_standin/settings.hpp"
#include "components/platform_standin/store_server_codec.hpp"
#include "components/platform_standin/worker_server_codec.hpp"
#include "components/simulation/fleet_model.hpp"
#include "components/simulation/store_model.hpp"
#include "platform/caller_codec.hpp"
#include "platform/json_reading.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

namespace platform_standin
{

namespace
{

namespace json = boost::json;

constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusMisdirectedRequest = 421;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
/// Interval at which waiting calls and running tasks are checked.
constexpr fleet::Duration tickInterval {5};
/// Interval at which the workers publish their entries in the worker list.
constexpr fleet::Duration heartbeatInterval {1500};
/// Interval of the readiness probes of the instances. Two missed probes in a row take an instance out of rotation.
constexpr fleet::Duration readinessInterval {1000};
constexpr int maxMissedProbes = 1;
constexpr fleet::Duration forwardTimeout {4000};

const store::Topic operatorsTopic {"op", 0, true};
const store::Topic workerListTopic {"servers", 0, true};

http::Response makeStatusResponse(int status)
{
    http::Response response;
    response.m_status = status;
    response.m_body = "{}";
    return response;
}

std::string readFile(const std::string &name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}

class PlatformStandIn::Core : public std::enable_shared_from_this<PlatformStandIn::Core>
{
public:
    explicit Core(const Settings &settings);

    void start();
    void stop();

    std::unique_ptr<http::Server> m_storeServer;
    std::unique_ptr<http::Server> m_ingressServer;
    std::unique_ptr<http::Server> m_controlServer;

private:
    struct WaitingRead
    {
        store::ReadCall m_call;
        http::Responder m_respond;
        fleet::BootTime m_until;
    };

    struct WaitingPoll
    {
        workers::PollOrder m_order;
        http::Responder m_respond;
        fleet::BootTime m_until;
        /// The incarnation that received the poll.
        workers::WorkerIncarnation m_receiver;
    };

    struct InstanceState
    {
        http::Address m_callers;
        http::Address m_readiness;
        int m_missedProbes = 0;
    };

    std::unique_ptr<http::Server> listen(std::uint16_t port, http::Server::Handler handler);
    void addWorkers();
    void tick();
    void publishWorkerList(fleet::BootTime now);
    void probeReadiness();

    void onStoreRequest(const http::Request &request, const http::Responder &respond);
    void onRead(const store::ReadCall &call, const http::Responder &respond, fleet::BootTime until);
    bool tryAnswerRead(const WaitingRead &waiting, bool mustAnswer);
    void onWorkerRequest(const fleet::WorkerId &worker, const http::Request &request, const http::Responder &respond);
    void onPoll(const fleet::WorkerId &worker, const http::Request &request, const http::Responder &respond);
    bool tryAnswerPoll(const WaitingPoll &waiting, bool mustAnswer);
    void onCallerRequest(const http::Request &request, const http::Responder &respond);
    void recordJob(const http::Request &request);
    void onControlRequest(const http::Request &request, const http::Responder &respond);
    void setKey(const store::Topic &topic, const std::string &key, const std::string &value);
    http::Response setFaults(const json::object &faults);
    http::Response listRuns() const;
    const std::vector<std::string> &keysOf(const store::Topic &topic);

    Settings m_settings;
    std::shared_ptr<http::IoThread> m_thread;
    boost::asio::steady_timer m_timer;
    http::Client m_client;
    simulation::StoreModel m_store;
    simulation::FleetModel m_fleet;
    std::vector<std::unique_ptr<http::Server>> m_workerServers;
    std::vector<WaitingRead> m_waitingReads;
    std::vector<WaitingPoll> m_waitingPolls;
    std::vector<InstanceState> m_instances;
    std::size_t m_nextInstance = 0;
    std::string m_storeMode = "serves";
    std::set<fleet::WorkerId> m_unreachableWorkers;
    fleet::BootTime m_nextHeartbeat;
    fleet::BootTime m_nextReadiness;
    std::uint64_t m_heartbeatCount = 0;
    bool m_isStopped = false;
};

PlatformStandIn::Core::Core(const Settings &settings)
    : m_settings(settings)
    , m_thread(std::make_shared<http::IoThread>())
    , m_timer(m_thread->context())
    , m_client({}, m_thread)
{
    for (const InstanceEndpoints &instance : settings.m_instances) {
        m_instances.push_back(
            {{instance.m_callers.m_address, instance.m_callers.m_port}, {instance.m_readiness.m_address, instance.m_readiness.m_port}, maxMissedProbes + 1});
    }
    setKey(operatorsTopic, "config", readFile(settings.m_catalogFile));
}

std::unique_ptr<http::Server> PlatformStandIn::Core::listen(std::uint16_t port, http::Server::Handler handler)
{
    http::ServerSettings settings;
    settings.m_bind = {m_settings.m_address, port};
    return std::make_unique<http::Server>(settings, std::move(handler), m_thread);
}

void PlatformStandIn::Core::start()
{
    addWorkers();
    m_storeServer = listen(m_settings.m_storePort, [this](const http::Request &request, const http::Responder &respond) {
        onStoreRequest(request, respond);
    });
    m_ingressServer = listen(m_settings.m_ingressPort, [this](const http::Request &request, const http::Responder &respond) {
        onCallerRequest(request, respond);
    });
    m_controlServer = listen(m_settings.m_controlPort, [this](const http::Request &request, const http::Responder &respond) {
        onControlRequest(request, respond);
    });
    boost::asio::post(m_thread->context(), [self = shared_from_this()] {
        self->tick();
    });
}

void PlatformStandIn::Core::stop()
{
    boost::asio::post(m_thread->context(), [self = shared_from_this()] {
        self->m_isStopped = true;
        self->m_timer.cancel();
    });
}

void PlatformStandIn::Core::addWorkers()
{
    int number = 0;
    for (const fleet::ZoneId &zone : m_settings.m_zones) {
        for (int i = 0; i < m_settings.m_workersPerZone; ++i) {
            const fleet::WorkerId id("i-" + std::to_string(number));
            simulation::ModelWorker worker;
            workers::Registration &registration = worker.m_registration;
            registration.m_incarnation = {id, node::currentTime().m_wall.time_since_epoch().count()};
            registration.m_service = fleet::ServiceId("service");
            registration.m_machine = fleet::MachineId("m-" + std::to_string(number));
            registration.m_zone = zone;
            registration.m_rack = fleet::RackId(zone.value() + '-' + std::to_string(i / m_settings.m_workersPerRack));
            registration.m_kind = "a";
            registration.m_capacity = m_settings.m_workerCapacity;
            auto server = listen(0, [this, id](const http::Request &request, const http::Responder &respond) {
                onWorkerRequest(id, request, respond);
            });
            registration.m_address = http::toString({m_settings.m_address, server->port()});
            m_workerServers.push_back(std::move(server));
            m_fleet.m_workers.emplace(id, std::move(worker));
            ++number;
        }
    }
}

void PlatformStandIn::Core::tick()
{
    if (m_isStopped) {
        return;
    }
    const fleet::BootTime now = node::currentTime().m_boot;
    advance(m_fleet, now);
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + heartbeatInterval;
        publishWorkerList(now);
    }
    if (now >= m_nextReadiness) {
        m_nextReadiness = now + readinessInterval;
        probeReadiness();
    }
    std::erase_if(m_waitingReads, [&](const WaitingRead &waiting) {
        return tryAnswerRead(waiting, now >= waiting.m_until);
    });
    std::erase_if(m_waitingPolls, [&](const WaitingPoll &waiting) {
        return tryAnswerPoll(waiting, now >= waiting.m_until);
    });
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->tick();
        }
    });
}

void PlatformStandIn::Core::publishWorkerList(fleet::BootTime now)
{
    ++m_heartbeatCount;
    store::AppendCall call;
    call.m_topic = workerListTopic;
    for (const auto &[id, worker] : m_fleet.m_workers) {
        if (worker.m_isUp) {
            call.m_keys.push_back(id.value());
            call.m_records.push_back(encodeRegistration(worker.m_registration, simulation::clockReading(worker, now), m_heartbeatCount));
        }
    }
    simulation::append(m_store, call);
}

void PlatformStandIn::Core::probeReadiness()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        http::Request request;
        request.m_target = "/v1/ready";
        m_client.send(m_instances[i].m_readiness, request, readinessInterval, [self = shared_from_this(), i](const http::Result &result) {
            const bool isReady = result.m_kind == http::ResultKind::Answered && result.m_response.m_status == http::Response().m_status;
            self->m_instances[i].m_missedProbes = isReady ? 0 : self->m_instances[i].m_missedProbes + 1;
        });
    }
}

const std::vector<std::string> &PlatformStandIn::Core::keysOf(const store::Topic &topic)
{
    return m_store.m_topics[topic].m_keys;
}

void PlatformStandIn::Core::onStoreRequest(const http::Request &request, const http::Responder &respond)
{
    if (m_storeMode == "silent") {
        m_waitingReads.push_back({{}, respond, fleet::BootTime::max()});
        return;
    }
    if (m_storeMode == "busy") {
        respond(makeStatusResponse(statusUnavailable));
        return;
    }
    const std::string path(http::pathOf(request.m_target));
    if (path == "/v1/log-append") {
        const auto call = decodeAppendRequest(request);
        respond(call ? encodeAppendResponse(simulation::append(m_store, *call)) : makeStatusResponse(statusBadRequest));
    } else if (path == "/v1/log-read") {
        const auto call = decodeReadRequest(request);
        if (call) {
            onRead(*call, respond, node::currentTime().m_boot + call->m_wait);
        } else {
            respond(makeStatusResponse(statusBadRequest));
        }
    } else if (path == "/v1/log-newest") {
        const auto topic = decodeTopic(request);
        respond(topic ? encodeNewestResponse(simulation::newest(m_store, *topic), m_store.m_topics[*topic].m_records.size())
                      : makeStatusResponse(statusBadRequest));
    } else {
        respond(makeStatusResponse(statusNotFound));
    }
}

void PlatformStandIn::Core::onRead(const store::ReadCall &call, const http::Responder &respond, fleet::BootTime until)
{
    const WaitingRead waiting {call, respond, until};
    if (!tryAnswerRead(waiting, call.m_wait.count() <= 0)) {
        m_waitingReads.push_back(waiting);
    }
}

bool PlatformStandIn::Core::tryAnswerRead(const WaitingRead &waiting, bool mustAnswer)
{
    if (waiting.m_until == fleet::BootTime::max()) {
        return false;
    }
    const store::ReadResult result = simulation::read(m_store, waiting.m_call);
    if (!mustAnswer && result.m_outcome == store::ReadOutcome::Read && result.m_records.empty()) {
        return false;
    }
    waiting.m_respond(encodeReadResponse(waiting.m_call, result, keysOf(waiting.m_call.m_topic)));
    return true;
}

void PlatformStandIn::Core::onWorkerRequest(const fleet::WorkerId &id, const http::Request &request, const http::Responder &respond)
{
    const simulation::ModelWorker &worker = m_fleet.m_workers.at(id);
    if (!worker.m_isUp || m_unreachableWorkers.contains(id)) {
        respond.closeWithoutAnswer();
        return;
    }
    if (http::headerValue(request, "X-Target-Instance").value_or(id.value()) != id.value()) {
        respond(makeStatusResponse(statusMisdirectedRequest));
        return;
    }
    const std::string path(http::pathOf(request.m_target));
    const fleet::BootTime now = node::currentTime().m_boot;
    advance(m_fleet, now);
    if (path == "/v1/run-start") {
        const auto order = decodeStartRequest(request, worker.m_registration.m_incarnation);
        respond(order ? encodeOrderResponse(simulation::start(m_fleet, *order, now)) : makeStatusResponse(statusBadRequest));
    } else if (path == "/v1/run-stop") {
        const auto order = decodeStopRequest(request, worker.m_registration.m_incarnation);
        respond(order ? encodeOrderResponse(simulation::stop(m_fleet, *order, now)) : makeStatusResponse(statusBadRequest));
    } else if (path == "/v1/hold") {
        onPoll(id, request, respond);
    } else {
        respond(makeStatusResponse(statusNotFound));
    }
}

void PlatformStandIn::Core::onPoll(const fleet::WorkerId &id, const http::Request &request, const http::Responder &respond)
{
    auto order = decodePollRequest(request, m_fleet.m_workers.at(id).m_registration.m_incarnation);
    if (!order) {
        respond(makeStatusResponse(statusBadRequest));
        return;
    }
    const WaitingPoll waiting {*order, respond, node::currentTime().m_boot + order->m_wait, order->m_target};
    if (tryAnswerPoll(waiting, order->m_wait.count() <= 0)) {
        return;
    }
    m_waitingPolls.push_back(waiting);
    // The first check has extended the lease and forgotten the acknowledged ends; later checks of the waiting request must not do so again.
    m_waitingPolls.back().m_order.m_leaseUntilMs.reset();
    m_waitingPolls.back().m_order.m_acknowledgedUpTo = 0;
}

bool PlatformStandIn::Core::tryAnswerPoll(const WaitingPoll &waiting, bool mustAnswer)
{
    if (m_fleet.m_workers.at(waiting.m_receiver.m_worker).m_registration.m_incarnation != waiting.m_receiver) {
        // The connection ends with the process that has received the poll.
        waiting.m_respond.closeWithoutAnswer();
        return true;
    }
    const workers::PollResult result = simulation::poll(m_fleet, waiting.m_order, node::currentTime().m_boot);
    const bool isReady = mustAnswer || !result.m_ended.empty() || result.m_outcome != workers::PollOutcome::Answered;
    if (isReady) {
        waiting.m_respond(encodePollResponse(result, m_fleet.m_workers.at(waiting.m_order.m_target.m_worker).m_registration.m_incarnation.m_startedAtMs));
    }
    return isReady;
}

/// Records the steps and the estimated duration of a submitted job, which determine how the simulated workers run its tasks.
void PlatformStandIn::Core::recordJob(const http::Request &request)
{
    const auto call = platform::decodeCall(request);
    if (!call || !call->m_submission) {
        return;
    }
    const auto id = jobs::parseJobId(call->m_path.substr(call->m_path.rfind('/') + 1));
    if (id) {
        m_fleet.m_steps.try_emplace(*id, call->m_submission->m_steps);
        m_fleet.m_behaviours.try_emplace(*id, simulation::Behaviour {call->m_submission->m_steps.front().m_estimate, false});
    }
}

void PlatformStandIn::Core::onCallerRequest(const http::Request &request, const http::Responder &respond)
{
    recordJob(request);
    const bool isAnyReady = std::any_of(m_instances.begin(), m_instances.end(), [](const InstanceState &instance) {
        return instance.m_missedProbes <= maxMissedProbes;
    });
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        const InstanceState &instance = m_instances[m_nextInstance++ % m_instances.size()];
        if (instance.m_missedProbes <= maxMissedProbes || !isAnyReady) {
            m_client.send(instance.m_callers, request, forwardTimeout, [respond](const http::Result &result) {
                respond(result.m_kind == http::ResultKind::Answered ? result.m_response : makeStatusResponse(statusBadGateway));
            });
            return;
        }
    }
    respond(makeStatusResponse(statusBadGateway));
}

void PlatformStandIn::Core::setKey(const store::Topic &topic, const std::string &key, const std::string &value)
{
    store::AppendCall call;
    call.m_topic = topic;
    call.m_keys = {key};
    call.m_records = {value};
    simulation::append(m_store, call);
}

http::Response PlatformStandIn::Core::setFaults(const json::object &faults)
{
    if (const auto store = platform::textAt(faults, "store")) {
        m_storeMode = *store;
    }
    if (const json::array *cut = platform::arrayAt(faults, "cut")) {
        m_unreachableWorkers.clear();
        for (const json::value &worker : *cut) {
            m_unreachableWorkers.insert(fleet::WorkerId(std::string(worker.as_string())));
        }
    }
    if (const json::array *reborn = platform::arrayAt(faults, "reborn")) {
        for (const json::value &worker : *reborn) {
            simulation::crash(m_fleet, fleet::WorkerId(std::string(worker.as_string())), true, node::currentTime().m_boot);
        }
    }
    if (const json::array *crashed = platform::arrayAt(faults, "crash")) {
        for (const json::value &worker : *crashed) {
            const fleet::WorkerId id {std::string(worker.as_string())};
            simulation::crash(m_fleet, id, false, node::currentTime().m_boot);
            setKey(workerListTopic, id.value(), "");
        }
    }
    if (m_storeMode != "silent") {
        // Drops the calls received while the store was silent. Their clients have usually closed the connections by now; any other
        // one receives status 500.
        std::erase_if(m_waitingReads, [](const WaitingRead &waiting) {
            return waiting.m_until == fleet::BootTime::max();
        });
    }
    return makeStatusResponse(http::Response().m_status);
}

http::Response PlatformStandIn::Core::listRuns() const
{
    json::array runs;
    for (const simulation::RunRecord &run : m_fleet.m_history) {
        runs.push_back(json::object {{"task", toString(run.m_run.m_task)},
                                     {"run", run.m_run.m_run},
                                     {"worker", run.m_incarnation.m_worker.value()},
                                     {"how", run.m_endReason},
                                     {"open", run.m_endedAt == fleet::BootTime::max()}});
    }
    json::array broken;
    for (const std::string &violation : m_fleet.m_violations) {
        broken.emplace_back(violation);
    }
    http::Response response;
    response.m_body = json::serialize(json::object {{"runs", std::move(runs)}, {"broken", std::move(broken)}});
    return response;
}

void PlatformStandIn::Core::onControlRequest(const http::Request &request, const http::Responder &respond)
{
    constexpr std::string_view operators = "/v1/operators/";
    constexpr std::string_view entries = "/v1/entries/";
    const std::string path(http::pathOf(request.m_target));
    const bool isWrite = request.m_method == "PUT" || request.m_method == "DELETE";
    const std::string value = request.m_method == "PUT" ? request.m_body : std::string();
    if (path.starts_with(operators) && isWrite) {
        setKey(operatorsTopic, path.substr(operators.size()), value);
        respond(makeStatusResponse(http::Response().m_status));
    } else if (path.starts_with(entries) && isWrite) {
        const std::vector<std::string> segments = http::pathSegments(path);
        setKey(workerListTopic, segments.size() > 2 ? segments[2] : std::string(), value);
        respond(makeStatusResponse(http::Response().m_status));
    } else if (path == "/v1/faults" && request.m_method == "POST") {
        const auto faults = platform::parseObject(request.m_body);
        respond(faults ? setFaults(*faults) : makeStatusResponse(statusBadRequest));
    } else if (path == "/v1/runs" && request.m_method == "GET") {
        respond(listRuns());
    } else {
        respond(makeStatusResponse(statusNotFound));
    }
}

PlatformStandIn::PlatformStandIn(const Settings &settings)
    : m_core(std::make_shared<Core>(settings))
{
    m_core->start();
}

PlatformStandIn::~PlatformStandIn()
{
    m_core->stop();
}

http::Address PlatformStandIn::store() const
{
    return {"127.0.0.1", m_core->m_storeServer->port()};
}

http::Address PlatformStandIn::ingress() const
{
    return {"127.0.0.1", m_core->m_ingressServer->port()};
}

http::Address PlatformStandIn::control() const
{
    return {"127.0.0.1", m_core->m_controlServer->port()};
}

}
