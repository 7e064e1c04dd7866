#include "components/platform_standin/platform_stand_in.hpp"

#include "components/http/client.hpp"
#include "components/http/io_thread.hpp"
#include "components/http/request.hpp"
#include "components/http/responder.hpp"
#include "components/http/response.hpp"
#include "components/http/result.hpp"
#include "components/http/server.hpp"
#include "components/http/target.hpp"
#include "components/jobs/job_id.hpp"
#include "components/node/clocks.hpp"
#include "components/platform_standin/settings.hpp"
#include "components/platform_standin/store_wire.hpp"
#include "components/platform_standin/worker_wire.hpp"
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
constexpr int statusOtherLife = 421;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
/// Waiting calls and the end of tasks are looked at this often.
constexpr fleet::Duration tickInterval {5};
/// A worker writes its entry in the list this often.
constexpr fleet::Duration heartbeatInterval {1500};
/// Instances are asked this often whether they are ready; two misses take them out of rotation.
constexpr fleet::Duration readinessInterval {1000};
constexpr int missesAllowed = 1;
constexpr fleet::Duration forwardTimeout {4000};

const store::Topic operatorsTopic {"op", 0, true};
const store::Topic serversTopic {"servers", 0, true};

http::Response withStatus(int status)
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

    struct WaitingLook
    {
        workers::PollOrder m_order;
        http::Responder m_respond;
        fleet::BootTime m_until;
    };

    struct FrontState
    {
        http::Address m_callers;
        http::Address m_readiness;
        int m_misses = 0;
    };

    std::unique_ptr<http::Server> listen(std::uint16_t port, http::Server::Handler handler);
    void addWorkers();
    void tick();
    void beat(fleet::BootTime now);
    void askFronts();

    void onStore(const http::Request &request, const http::Responder &respond);
    void onRead(const store::ReadCall &call, const http::Responder &respond, fleet::BootTime until);
    bool answerRead(const WaitingRead &waiting, bool isLast);
    void onWorker(const fleet::WorkerId &worker, const http::Request &request, const http::Responder &respond);
    void onLook(const fleet::WorkerId &worker, const http::Request &request, const http::Responder &respond);
    bool answerLook(const WaitingLook &waiting, bool isLast);
    void onCaller(const http::Request &request, const http::Responder &respond);
    void learnJob(const http::Request &request);
    void onControl(const http::Request &request, const http::Responder &respond);
    void setOperatorKey(const std::string &key, const std::string &value);
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
    std::vector<WaitingRead> m_reads;
    std::vector<WaitingLook> m_looks;
    std::vector<FrontState> m_fronts;
    std::size_t m_nextFront = 0;
    std::string m_storeMode = "serves";
    std::set<fleet::WorkerId> m_cut;
    fleet::BootTime m_nextBeat;
    fleet::BootTime m_nextReadiness;
    std::uint64_t m_beats = 0;
    bool m_isStopped = false;
};

PlatformStandIn::Core::Core(const Settings &settings)
    : m_settings(settings)
    , m_thread(std::make_shared<http::IoThread>())
    , m_timer(m_thread->context())
    , m_client({}, m_thread)
{
    for (const Front &front : settings.m_fronts) {
        m_fronts.push_back({{front.m_callers.m_address, front.m_callers.m_port}, {front.m_readiness.m_address, front.m_readiness.m_port}, missesAllowed + 1});
    }
    setOperatorKey("config", readFile(settings.m_catalogFile));
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
        onStore(request, respond);
    });
    m_ingressServer = listen(m_settings.m_ingressPort, [this](const http::Request &request, const http::Responder &respond) {
        onCaller(request, respond);
    });
    m_controlServer = listen(m_settings.m_controlPort, [this](const http::Request &request, const http::Responder &respond) {
        onControl(request, respond);
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
            registration.m_incarnation = {id, node::presentTime().m_wall.time_since_epoch().count()};
            registration.m_service = fleet::ServiceId("service");
            registration.m_machine = fleet::MachineId("m-" + std::to_string(number));
            registration.m_zone = zone;
            registration.m_rack = fleet::RackId(zone.value() + '-' + std::to_string(i / m_settings.m_workersPerRack));
            registration.m_kind = "a";
            registration.m_capacity = m_settings.m_workerCapacity;
            auto server = listen(0, [this, id](const http::Request &request, const http::Responder &respond) {
                onWorker(id, request, respond);
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
    const fleet::BootTime now = node::presentTime().m_boot;
    advance(m_fleet, now);
    if (now >= m_nextBeat) {
        m_nextBeat = now + heartbeatInterval;
        beat(now);
    }
    if (now >= m_nextReadiness) {
        m_nextReadiness = now + readinessInterval;
        askFronts();
    }
    std::erase_if(m_reads, [&](const WaitingRead &waiting) {
        return answerRead(waiting, now >= waiting.m_until);
    });
    std::erase_if(m_looks, [&](const WaitingLook &waiting) {
        return answerLook(waiting, now >= waiting.m_until);
    });
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->tick();
        }
    });
}

void PlatformStandIn::Core::beat(fleet::BootTime now)
{
    ++m_beats;
    store::AppendCall call;
    call.m_topic = serversTopic;
    for (const auto &[id, worker] : m_fleet.m_workers) {
        if (worker.m_isUp) {
            call.m_keys.push_back(id.value());
            call.m_records.push_back(encodeRegistration(worker.m_registration, simulation::clockOf(worker, now), m_beats));
        }
    }
    simulation::append(m_store, call);
}

void PlatformStandIn::Core::askFronts()
{
    for (std::size_t i = 0; i < m_fronts.size(); ++i) {
        http::Request request;
        request.m_target = "/v1/ready";
        m_client.send(m_fronts[i].m_readiness, request, readinessInterval, [self = shared_from_this(), i](const http::Result &result) {
            const bool isReady = result.m_kind == http::ResultKind::Answered && result.m_response.m_status == http::Response().m_status;
            self->m_fronts[i].m_misses = isReady ? 0 : self->m_fronts[i].m_misses + 1;
        });
    }
}

const std::vector<std::string> &PlatformStandIn::Core::keysOf(const store::Topic &topic)
{
    return m_store.m_topics[topic].m_keys;
}

void PlatformStandIn::Core::onStore(const http::Request &request, const http::Responder &respond)
{
    if (m_storeMode == "silent") {
        m_reads.push_back({{}, respond, fleet::BootTime::max()});
        return;
    }
    if (m_storeMode == "busy") {
        respond(withStatus(statusUnavailable));
        return;
    }
    const std::string path(http::pathOf(request.m_target));
    if (path == "/v1/log-append") {
        const auto call = decodeAppend(request);
        respond(call ? encodeAppend(simulation::append(m_store, *call)) : withStatus(statusBadRequest));
    } else if (path == "/v1/log-read") {
        const auto call = decodeRead(request);
        if (call) {
            onRead(*call, respond, node::presentTime().m_boot + call->m_wait);
        } else {
            respond(withStatus(statusBadRequest));
        }
    } else if (path == "/v1/log-newest") {
        const auto topic = decodeTopic(request);
        respond(topic ? encodeNewest(simulation::newest(m_store, *topic), m_store.m_topics[*topic].m_records.size()) : withStatus(statusBadRequest));
    } else {
        respond(withStatus(statusNotFound));
    }
}

void PlatformStandIn::Core::onRead(const store::ReadCall &call, const http::Responder &respond, fleet::BootTime until)
{
    const WaitingRead waiting {call, respond, until};
    if (!answerRead(waiting, call.m_wait.count() <= 0)) {
        m_reads.push_back(waiting);
    }
}

bool PlatformStandIn::Core::answerRead(const WaitingRead &waiting, bool isLast)
{
    if (waiting.m_until == fleet::BootTime::max()) {
        return false;
    }
    const store::ReadResult result = simulation::read(m_store, waiting.m_call);
    if (!isLast && result.m_outcome == store::ReadOutcome::Read && result.m_records.empty()) {
        return false;
    }
    waiting.m_respond(encodeRead(waiting.m_call, result, keysOf(waiting.m_call.m_topic)));
    return true;
}

void PlatformStandIn::Core::onWorker(const fleet::WorkerId &id, const http::Request &request, const http::Responder &respond)
{
    const simulation::ModelWorker &worker = m_fleet.m_workers.at(id);
    if (!worker.m_isUp || m_cut.contains(id)) {
        respond.cut();
        return;
    }
    if (http::headerValue(request, "X-Target-Instance").value_or(id.value()) != id.value()) {
        respond(withStatus(statusOtherLife));
        return;
    }
    const std::string path(http::pathOf(request.m_target));
    const fleet::BootTime now = node::presentTime().m_boot;
    advance(m_fleet, now);
    if (path == "/v1/run-start") {
        const auto order = decodeStart(request, worker.m_registration.m_incarnation);
        respond(order ? encodeOrderResult(simulation::start(m_fleet, *order, now)) : withStatus(statusBadRequest));
    } else if (path == "/v1/run-stop") {
        const auto order = decodeStop(request, worker.m_registration.m_incarnation);
        respond(order ? encodeOrderResult(simulation::stop(m_fleet, *order, now)) : withStatus(statusBadRequest));
    } else if (path == "/v1/hold") {
        onLook(id, request, respond);
    } else {
        respond(withStatus(statusNotFound));
    }
}

void PlatformStandIn::Core::onLook(const fleet::WorkerId &id, const http::Request &request, const http::Responder &respond)
{
    auto order = decodeLook(request, m_fleet.m_workers.at(id).m_registration.m_incarnation);
    if (!order) {
        respond(withStatus(statusBadRequest));
        return;
    }
    const WaitingLook waiting {*order, respond, node::presentTime().m_boot + order->m_wait};
    if (answerLook(waiting, order->m_wait.count() <= 0)) {
        return;
    }
    m_looks.push_back(waiting);
    // The lease was extended by the first look; waiting does not extend it again.
    m_looks.back().m_order.m_leaseUntilMs.reset();
}

bool PlatformStandIn::Core::answerLook(const WaitingLook &waiting, bool isLast)
{
    const workers::PollResult result = simulation::look(m_fleet, waiting.m_order, node::presentTime().m_boot);
    const bool isReady = isLast || !result.m_ended.empty() || result.m_outcome != workers::PollOutcome::Answered;
    if (isReady) {
        waiting.m_respond(encodeLook(result, m_fleet.m_workers.at(waiting.m_order.m_target.m_worker).m_registration.m_incarnation.m_startedAtMs));
    }
    return isReady;
}

/// The tasks of a job behave as its caller wrote them down.
void PlatformStandIn::Core::learnJob(const http::Request &request)
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

void PlatformStandIn::Core::onCaller(const http::Request &request, const http::Responder &respond)
{
    learnJob(request);
    const bool isAnyReady = std::any_of(m_fronts.begin(), m_fronts.end(), [](const FrontState &front) {
        return front.m_misses <= missesAllowed;
    });
    for (std::size_t i = 0; i < m_fronts.size(); ++i) {
        const FrontState &front = m_fronts[m_nextFront++ % m_fronts.size()];
        if (front.m_misses <= missesAllowed || !isAnyReady) {
            m_client.send(front.m_callers, request, forwardTimeout, [respond](const http::Result &result) {
                respond(result.m_kind == http::ResultKind::Answered ? result.m_response : withStatus(statusBadGateway));
            });
            return;
        }
    }
    respond(withStatus(statusBadGateway));
}

void PlatformStandIn::Core::setOperatorKey(const std::string &key, const std::string &value)
{
    store::AppendCall call;
    call.m_topic = operatorsTopic;
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
        m_cut.clear();
        for (const json::value &worker : *cut) {
            m_cut.insert(fleet::WorkerId(std::string(worker.as_string())));
        }
    }
    if (const json::array *reborn = platform::arrayAt(faults, "reborn")) {
        for (const json::value &worker : *reborn) {
            simulation::crash(m_fleet, fleet::WorkerId(std::string(worker.as_string())), true, node::presentTime().m_boot);
        }
    }
    if (const json::array *crashed = platform::arrayAt(faults, "crash")) {
        for (const json::value &worker : *crashed) {
            const fleet::WorkerId id {std::string(worker.as_string())};
            simulation::crash(m_fleet, id, false, node::presentTime().m_boot);
            store::AppendCall call;
            call.m_topic = serversTopic;
            call.m_keys = {id.value()};
            call.m_records = {""};
            simulation::append(m_store, call);
        }
    }
    if (m_storeMode != "silent") {
        // Calls that were left without an answer stay so; their connections are closed by the other side.
        std::erase_if(m_reads, [](const WaitingRead &waiting) {
            return waiting.m_until == fleet::BootTime::max();
        });
    }
    return withStatus(http::Response().m_status);
}

http::Response PlatformStandIn::Core::listRuns() const
{
    json::array runs;
    for (const simulation::RunHistory &run : m_fleet.m_history) {
        runs.push_back(json::object {{"task", toString(run.m_run.m_task)},
                                     {"run", run.m_run.m_run},
                                     {"worker", run.m_on.m_worker.value()},
                                     {"how", run.m_how},
                                     {"open", run.m_to == fleet::BootTime::max()}});
    }
    json::array broken;
    for (const std::string &violation : m_fleet.m_violations) {
        broken.emplace_back(violation);
    }
    http::Response response;
    response.m_body = json::serialize(json::object {{"runs", std::move(runs)}, {"broken", std::move(broken)}});
    return response;
}

void PlatformStandIn::Core::onControl(const http::Request &request, const http::Responder &respond)
{
    constexpr std::string_view operators = "/v1/operators/";
    const std::string path(http::pathOf(request.m_target));
    if (path.starts_with(operators) && (request.m_method == "PUT" || request.m_method == "DELETE")) {
        setOperatorKey(path.substr(operators.size()), request.m_method == "PUT" ? request.m_body : std::string());
        respond(withStatus(http::Response().m_status));
    } else if (path == "/v1/faults" && request.m_method == "POST") {
        const auto faults = platform::parseObject(request.m_body);
        respond(faults ? setFaults(*faults) : withStatus(statusBadRequest));
    } else if (path == "/v1/runs" && request.m_method == "GET") {
        respond(listRuns());
    } else {
        respond(withStatus(statusNotFound));
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
