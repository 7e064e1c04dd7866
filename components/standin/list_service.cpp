#include "components/standin/list_service.hpp"

#include "components/http/error_response.hpp"
#include "components/http/request_target.hpp"
#include "components/platform/list_codec.hpp"
#include "components/standin/routes.hpp"

#include <utility>

namespace standin
{

ListService::ListService(EventLoop &loop, fleet::Duration lag)
    : Service(loop, http::errorResponse(503, "down", "the list is down; ask again later"))
    , m_lag(lag)
{
}

const platform::PlatformList &ListService::current() const
{
    return m_versions.m_versions.back();
}

void ListService::publish(platform::PlatformList list, fleet::TimePoint now)
{
    addVersion(m_versions, std::move(list), now);
}

void ListService::serve(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply)
{
    if (!matchesRoute(request, "GET", "/v1/list")) {
        reply(unknownPathResponse());
        return;
    }
    const auto visible = m_frozen ? *m_frozen : listAt(m_versions, now - m_lag - m_extraLag);
    const std::string tag = platform::listEntityTag(visible);
    const std::vector<http::Header> headers {{"ETag", tag}, {"As-Of", std::to_string(fleet::toMilliseconds(visible.m_asOf))}};
    if (http::headerValue(request, "If-None-Match") == tag) {
        reply({304, {}, "application/json", headers});
        return;
    }
    reply({200, platform::encodeList(visible), "application/json", headers});
}

void ListService::onFaults(const Faults &faults, fleet::TimePoint now)
{
    m_extraLag = faults.m_extraListLag;
    if (!faults.m_freezeList) {
        m_frozen.reset();
    } else if (!m_frozen) {
        m_frozen = listAt(m_versions, now - m_lag);
    }
}

}
