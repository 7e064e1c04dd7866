#ifndef COMPONENTS_STANDIN_STAND_IN_HPP
#define COMPONENTS_STANDIN_STAND_IN_HPP

#include "components/fleet/time.hpp"
#include "components/http/address.hpp"
#include "components/standin/event_loop.hpp"
#include "components/standin/stand_in_settings.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace platform
{
struct InstanceEntry;
struct PlatformList;
}

namespace standin
{

class ControlService;
class ListService;
class LogService;
class Relay;
class RunnerService;
class Service;
class WorkerService;
struct FaultRequest;

/// Simulates the platform's log and list, the workers and the runners in one process. Each has its own port.
class StandIn
{
public:
    /// Starts listening on all ports.
    /// @throws http::ServerError if a port is in use.
    explicit StandIn(const StandInSettings &settings);
    ~StandIn();

    StandIn(const StandIn &) = delete;
    StandIn &operator=(const StandIn &) = delete;

    http::Address controlAddress() const;
    http::Address logAddress() const;
    http::Address listAddress() const;

    /// The following functions may only be called on the event loop's thread. They return false if the target is unknown.
    bool setFaults(const FaultRequest &request, fleet::TimePoint now);
    void putInstance(const platform::InstanceEntry &instance, fleet::TimePoint now);
    bool setLeaving(const std::string &id, bool leaving, fleet::TimePoint now);
    bool remove(const std::string &id, fleet::TimePoint now);
    Relay &relay();

private:
    void addWorkers(const StandInSettings &settings, platform::PlatformList &list);
    void addRunners(const StandInSettings &settings, platform::PlatformList &list);
    Service &add(const std::string &name, std::unique_ptr<Service> service, const http::Address &bind);

    std::map<std::string, std::unique_ptr<Service>> m_services;
    std::map<std::string, WorkerService *> m_workers;
    ListService *m_list = nullptr;
    std::unique_ptr<Relay> m_relay;
    /// Declared last, so that its thread ends before the services that its actions use are destroyed.
    EventLoop m_loop;
};

}

#endif
