#ifndef COMPONENTS_STANDIN_LIST_SERVICE_HPP
#define COMPONENTS_STANDIN_LIST_SERVICE_HPP

#include "components/standin/list_versions.hpp"
#include "components/standin/service.hpp"

#include <optional>

namespace standin
{

/// Serves the list of instances and targets.
class ListService : public Service
{
public:
    ListService(EventLoop &loop, fleet::Duration lag);

    /// The list as it is now. On the event loop's thread, as is `put`, once the service listens.
    const platform::PlatformList &current() const;
    void publish(platform::PlatformList list, fleet::TimePoint now);

protected:
    void serve(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply) override;
    void onFaults(const Faults &faults, fleet::TimePoint now) override;

private:
    fleet::Duration m_lag;
    fleet::Duration m_extraLag {0};
    ListVersions m_versions;
    /// Set while the list is frozen: what it shows.
    std::optional<platform::PlatformList> m_frozen;
};

}

#endif
