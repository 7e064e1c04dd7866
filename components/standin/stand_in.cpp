#include "components/standin/stand_in.hpp"

#include "components/platform/platform_list.hpp"
#include "components/standin/control_service.hpp"
#include "components/standin/fault_request.hpp"
#include "components/standin/list_service.hpp"
#include "components/standin/log_service.hpp"
#include "components/standin/relay.hpp"
#include "components/standin/runner_service.hpp"
#include "components/standin/worker_service.hpp"

#include <utility>

namespace standin
{

namespace
{

constexpr const char *logName = "log";
constexpr const char *listName = "list";
constexpr const char *controlName = "control";

std::uint16_t portOf(std::uint16_t base, int index)
{
    return base == 0 ? std::uint16_t {0} : static_cast<std::uint16_t>(base + index);
}

fleet::TimePoint epoch()
{
    return fleet::fromMilliseconds(0);
}

fleet::WorkerInfo workerInfo(const StandInSettings &settings, int index)
{
    const int rack = index / settings.m_workersPerRack;
    const auto &zone = settings.m_zones.at(static_cast<std::size_t>(rack) % settings.m_zones.size());
    return {fleet::WorkerId("worker-" + std::to_string(index + 1)),
            zone,
            fleet::RackId(zone.value() + "-rack-" + std::to_string(rack + 1)),
            settings.m_workerCapacity};
}

}

StandIn::StandIn(const StandInSettings &settings)
    : m_relay(std::make_unique<Relay>(settings.m_relaySeed))
{
    const auto &host = settings.m_address;
    auto list = std::make_unique<ListService>(m_loop, settings.m_listLag);
    m_list = list.get();
    platform::PlatformList entries;
    entries.m_instances = settings.m_instances;
    addWorkers(settings, entries);
    addRunners(settings, entries);
    m_list->publish(std::move(entries), epoch());
    add(logName, std::make_unique<LogService>(m_loop, settings.m_logRetention), {host, settings.m_logPort});
    add(listName, std::move(list), {host, settings.m_listPort});
    add(controlName, std::make_unique<ControlService>(m_loop, *this), {host, settings.m_controlPort});
}

StandIn::~StandIn()
{
    for (auto &[name, service] : m_services) {
        service->close();
    }
}

http::Address StandIn::controlAddress() const
{
    return m_services.at(controlName)->address();
}

http::Address StandIn::logAddress() const
{
    return m_services.at(logName)->address();
}

http::Address StandIn::listAddress() const
{
    return m_services.at(listName)->address();
}

bool StandIn::setFaults(const FaultRequest &request, fleet::TimePoint now)
{
    const auto found = m_services.find(request.m_target);
    if (found == m_services.end() || request.m_target == controlName) {
        return false;
    }
    found->second->setFaults(request.m_faults, now);
    return true;
}

void StandIn::putInstance(const platform::InstanceEntry &instance, fleet::TimePoint now)
{
    auto list = m_list->current();
    standin::putInstance(list, instance);
    m_list->publish(std::move(list), now);
}

bool StandIn::setLeaving(const std::string &id, bool leaving, fleet::TimePoint now)
{
    auto list = m_list->current();
    if (!standin::setLeaving(list, id, leaving)) {
        return false;
    }
    const auto worker = m_workers.find(id);
    if (worker != m_workers.end()) {
        worker->second->setLeaving(leaving);
    }
    m_list->publish(std::move(list), now);
    return true;
}

bool StandIn::remove(const std::string &id, fleet::TimePoint now)
{
    auto list = m_list->current();
    const bool removed = removeEntry(list, id);
    m_list->publish(std::move(list), now);
    return removed;
}

Relay &StandIn::relay()
{
    return *m_relay;
}

void StandIn::addWorkers(const StandInSettings &settings, platform::PlatformList &list)
{
    for (int i = 0; i < settings.m_workers; ++i) {
        const auto info = workerInfo(settings, i);
        auto service = std::make_unique<WorkerService>(m_loop, info, settings.m_taskRunTime, settings.m_usageLag);
        m_workers[info.m_id.value()] = service.get();
        const auto &added = add(info.m_id.value(), std::move(service), {settings.m_address, portOf(settings.m_workerPortBase, i)});
        list.m_workers.push_back({info, added.address(), false});
    }
}

void StandIn::addRunners(const StandInSettings &settings, platform::PlatformList &list)
{
    for (int i = 0; i < settings.m_runners; ++i) {
        const fleet::RunnerId id("runner-" + std::to_string(i + 1));
        const auto &zone = settings.m_zones.at(static_cast<std::size_t>(i) % settings.m_zones.size());
        auto service = std::make_unique<RunnerService>(m_loop, id, settings.m_runnerSlots, settings.m_requestRunTime);
        const auto &added = add(id.value(), std::move(service), {settings.m_address, portOf(settings.m_runnerPortBase, i)});
        list.m_runners.push_back({id, zone, added.address(), settings.m_runnerSlots, settings.m_runnerConnections, false});
    }
}

Service &StandIn::add(const std::string &name, std::unique_ptr<Service> service, const http::Address &bind)
{
    // Registered before it listens, because listening starts threads that look up services.
    auto &added = *(m_services[name] = std::move(service));
    added.listen(bind);
    return added;
}

}
