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

/// Stand-ins for the platform's log and list, and for workers and runners, in one process. Each has its own port.
class StandIn
{
public:
    /// Listens on all ports and serves at once.
    /// @throws http::ServerError where a port is taken.
    explicit StandIn(const StandInSettings &settings);
    ~StandIn();

    StandIn(const StandIn &) = delete;
    StandIn &operator=(const StandIn &) = delete;

    http::Address controlAddress() const;
    http::Address logAddress() const;
    http::Address listAddress() const;

    /// The rest is called on the event loop's thread only. A return of false means that there is no such target.
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
    /// Declared last: its thread ends before the services that it works on.
    EventLoop m_loop;
};

}

#endif
