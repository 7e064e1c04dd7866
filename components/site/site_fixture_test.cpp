#include "components/site/site_fixture_test.hpp"

#include "components/api/read_call.hpp"
#include "components/http/request.hpp"
#include "components/instance/core.hpp"
#include "components/platform/command_message.hpp"
#include "components/platform/run_request.hpp"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>

namespace site
{

namespace
{

using namespace std::chrono_literals;

constexpr fleet::Duration tickInterval = 50ms;
constexpr fleet::Duration callTimeout = 20s;
constexpr int maxDelayMs = 20;
constexpr int workersPerZone = 4;
constexpr int workersPerRack = 2;
const std::vector<std::string> zones = {"kochi", "thrissur", "kozhikode"};

http::Address addressOf(std::size_t number)
{
    return {"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
}

settings::DaemonSettings settingsOf(std::size_t number)
{
    settings::DaemonSettings settings;
    settings.m_instance = fleet::InstanceId(zones[number] + "-1");
    settings.m_zone = fleet::ZoneId(zones[number]);
    settings.m_peerEndpoint = {addressOf(number).m_host, addressOf(number).m_port};
    settings.m_peerKeys = {"a key of the test site"};
    settings.m_requestIdKey = "another key of the test";
    return settings;
}

}

Site::Site(unsigned seed)
    : m_random(seed)
{
    addTargets();
    m_instances.resize(zones.size());
    for (std::size_t number = 0; number < m_instances.size(); ++number) {
        m_instances[number].m_settings = settingsOf(number);
        startInstance(m_instances[number]);
    }
}

void Site::addTargets()
{
    platform::PlatformList list;
    list.m_asOf = m_now;
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
        list.m_instances.push_back({fleet::InstanceId(zones[zone] + "-1"), fleet::ZoneId(zones[zone]), addressOf(zone), false});
        for (int number = 0; number < workersPerZone; ++number) {
            const std::string rack = zones[zone] + "-rack-" + std::to_string(number / workersPerRack);
            const fleet::WorkerInfo info {
                fleet::WorkerId(zones[zone] + "-worker-" + std::to_string(number)), fleet::ZoneId(zones[zone]), fleet::RackId(rack), {32'000, 64'000, 8}};
            list.m_workers.push_back({info, {info.m_id.value(), 1}, false});
            m_workers[info.m_id].m_info = info;
            m_workers[info.m_id].m_defaultRunTime = 5s;
        }
        const fleet::RunnerId runner(zones[zone] + "-runner");
        list.m_runners.push_back({runner, fleet::ZoneId(zones[zone]), {runner.value(), 1}, 8, 60, false});
        m_runners[runner].m_id = runner;
    }
    standin::addVersion(m_list, list, m_now);
}

void Site::startInstance(SiteInstance &instance)
{
    instance.m_killed = false;
    instance.m_control = std::make_unique<instance::Control>(instance.m_settings, fleet::Incarnation {++m_lastIncarnation}, makePorts(instance));
}

void Site::deliverLater(const std::function<void()> &delivery)
{
    const fleet::Duration delay(boost::random::uniform_int_distribution<>(1, maxDelayMs)(m_random));
    m_messages.emplace(std::pair(m_now + delay, ++m_lastMessage), delivery);
}

void Site::sendEvent(SiteInstance &instance, const instance::Event &event)
{
    deliverLater([this, &instance, event, control = instance.m_control.get()] {
        if (!instance.m_killed && instance.m_control.get() == control) {
            instance.m_control->handle(event, m_now);
        }
    });
}

SiteInstance &Site::instanceAt(const http::Address &address)
{
    return m_instances.at(static_cast<std::size_t>(address.m_port) - 1000);
}

instance::Ports Site::makePorts(SiteInstance &instance)
{
    instance::Ports ports;
    ports.m_append = [this, &instance](instance::LogStream stream, const std::string &record, std::uint64_t upTo) {
        deliverLater([this, &instance, stream, record, upTo] {
            platform::AppendResult result {platform::AppendKind::NotAppended, 0, "down"};
            if (!m_logDown) {
                result = {platform::AppendKind::Appended, standin::append(m_log, std::string(streamName(stream)), record, m_now), {}};
            }
            sendEvent(instance, instance::LogAppendEnded {stream, upTo, result});
        });
    };
    ports.m_read = [this, &instance](instance::LogStream stream, std::uint64_t from) {
        deliverLater([this, &instance, stream, from] {
            platform::ReadResult result;
            if (!m_logDown) {
                result.m_page = standin::read(m_log, std::string(streamName(stream)), from, 500, m_now);
            }
            sendEvent(instance, instance::LogReadEnded {stream, result});
        });
    };
    ports.m_readList = [this, &instance] {
        sendEvent(instance, instance::ListReadEnded {{standin::listAt(m_list, m_now), {}}});
    };
    ports.m_sendToWorker = [this, &instance](const http::Address &, const instance::WorkerMessage &message) {
        deliverLater([this, &instance, message] {
            platform::CommandMessage commands {instance.m_settings.m_instance, message.m_fence, {}};
            for (const scheduler::WorkerCommand &command : message.m_commands) {
                commands.m_commands.push_back({command, 0ms});
            }
            const platform::CommandResult result = standin::apply(m_workers.at(message.m_worker), commands, m_now);
            sendEvent(instance, instance::WorkerMessageEnded {message.m_worker, message.m_fence, result});
        });
    };
    ports.m_run = [this, &instance](const http::Address &, const requests::Dispatch &dispatch, fleet::Duration) {
        deliverLater([this, &instance, dispatch] {
            const platform::RunRequest request {dispatch.m_request, dispatch.m_attempt, dispatch.m_account, dispatch.m_kind, dispatch.m_body};
            standin::RunnerState &runner = m_runners.at(dispatch.m_runner);
            platform::RunResult result {platform::RunOutcome::DidNotRun, {}, "full"};
            if (standin::startRequest(runner, request, m_now)) {
                standin::finishRequest(runner);
                result = {platform::RunOutcome::Done, standin::buildAnswer(runner, request), {}};
            }
            sendEvent(instance, instance::RunEnded {dispatch.m_runner, dispatch.m_request, dispatch.m_attempt, result});
        });
    };
    ports.m_readLoad = [this, &instance](const fleet::RunnerId &runner, const http::Address &) {
        sendEvent(instance, instance::LoadReadEnded {runner, {platform::RunnerLoad {m_now, 0, 0}, {}}});
    };
    ports.m_sendDatagram = [this](const http::Address &address, const std::string &bytes) {
        const int copies = boost::random::uniform_int_distribution<>(0, 9)(m_random);
        for (int copy = 0; copy < (copies == 0 ? 0 : copies == 1 ? 2 : 1); ++copy) {
            sendEvent(instanceAt(address), instance::DatagramReceived {bytes});
        }
    };
    ports.m_callPeer = [this, &instance](instance::PeerCallId id, const instance::PeerAddress &target, const instance::PeerCall &call, fleet::Duration) {
        SiteInstance &other = instanceAt(target.m_address);
        if (other.m_killed) {
            sendEvent(instance, instance::PeerCallEnded {id, http::ResultKind::NotSent, std::nullopt});
            return;
        }
        const requests::WaiterId waiter {++other.m_lastWaiter};
        other.m_peerWaiters[waiter] = [this, &instance, id](const instance::PeerReply &reply) {
            sendEvent(instance, instance::PeerCallEnded {id, http::ResultKind::Answered, reply});
        };
        sendEvent(other, instance::PeerCallReceived {waiter, call});
    };
    ports.m_reply = [&instance](requests::WaiterId waiter, const api::Reply &reply) {
        instance.m_replies.emplace(waiter, reply);
    };
    ports.m_replyToPeer = [&instance](requests::WaiterId waiter, const instance::PeerReply &reply) {
        instance.m_peerWaiters.at(waiter)(reply);
    };
    ports.m_stopListening = [] {};
    ports.m_makeId = [&instance] {
        return instance.m_settings.m_instance.value() + "-id-" + std::to_string(++instance.m_lastId);
    };
    return ports;
}

void Site::run(fleet::Duration duration)
{
    const fleet::TimePoint end = m_now + duration;
    while (m_now < end) {
        const fleet::TimePoint tick = m_now + tickInterval;
        while (!m_messages.empty() && m_messages.begin()->first.first <= tick) {
            m_now = m_messages.begin()->first.first;
            const std::function<void()> delivery = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            delivery();
        }
        m_now = tick;
        for (SiteInstance &instance : m_instances) {
            if (!instance.m_killed) {
                instance.m_control->handle(instance::Tick {}, m_now);
            }
        }
    }
}

bool Site::runUntil(const std::function<bool()> &condition, fleet::Duration limit)
{
    const fleet::TimePoint end = m_now + limit;
    while (!condition() && m_now < end) {
        run(tickInterval);
    }
    return condition();
}

std::optional<api::Reply> Site::call(std::size_t index, const std::string &method, const std::string &target, const std::string &body)
{
    SiteInstance &to = m_instances.at(index);
    const requests::WaiterId waiter {++to.m_lastWaiter};
    sendEvent(to, instance::CallReceived {waiter, api::readCall({method, target, {}, body})});
    const auto hasReply = [&to, waiter] {
        return to.m_replies.contains(waiter);
    };
    return runUntil(hasReply, callTimeout) ? std::optional(to.m_replies.at(waiter)) : std::nullopt;
}

void Site::kill(std::size_t index)
{
    m_instances.at(index).m_killed = true;
}

bool Site::stop(std::size_t index, fleet::Duration limit)
{
    SiteInstance &stopping = m_instances.at(index);
    sendEvent(stopping, instance::StopRequested {});
    const bool stopped = runUntil(
        [&] {
            return stopping.m_control->isStopped();
        },
        limit);
    stopping.m_killed = true;
    return stopped && stopping.m_control->isClean();
}

void Site::restart(std::size_t index)
{
    startInstance(m_instances.at(index));
}

std::uint64_t Site::configurationVersion(std::size_t index) const
{
    return m_instances.at(index).m_control->core().m_configuration.m_configuration.m_version.m_value;
}

std::string Site::madeFrom() const
{
    return R"("operator":"meera","madeFrom":)" + std::to_string(configurationVersion(0));
}

std::vector<fleet::TimePoint> Site::startsIn(const std::string &zone) const
{
    std::vector<fleet::TimePoint> starts;
    for (const auto &[id, worker] : m_workers) {
        for (const standin::TaskEvent &event : worker.m_history) {
            if (worker.m_info.m_zone.value() == zone && event.m_phase == scheduler::TaskPhase::Running) {
                starts.push_back(event.m_at);
            }
        }
    }
    return starts;
}

int Site::received(const std::string &request) const
{
    int count = 0;
    for (const auto &[id, runner] : m_runners) {
        count += static_cast<int>(std::count_if(runner.m_received.begin(), runner.m_received.end(), [&](const standin::ReceivedRequest &received) {
            return received.m_request.m_request.value() == request;
        }));
    }
    return count;
}

}
