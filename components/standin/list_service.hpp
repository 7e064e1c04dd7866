#ifndef COMPONENTS_STANDIN_LIST_SERVICE_HPP
#define COMPONENTS_STANDIN_LIST_SERVICE_HPP

#include "components/standin/list_versions.hpp"
#include "components/standin/service.hpp"

#include <optional>

namespace standin
{

/// Serves the platform's list of instances, workers and runners.
class ListService : public Service
{
public:
    ListService(EventLoop &loop, fleet::Duration lag);

    /// Newest version of the list. Once the service listens, this and `publish` may only be called on the event loop's thread.
    const platform::PlatformList &current() const;
    void publish(platform::PlatformList list, fleet::TimePoint now);

protected:
    void serve(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply) override;
    void onFaults(const Faults &faults, fleet::TimePoint now) override;

private:
    fleet::Duration m_lag;
    fleet::Duration m_extraLag {0};
    ListVersions m_versions;
    /// Version returned while the list is frozen.
    std::optional<platform::PlatformList> m_frozen;
};

}

#endif
