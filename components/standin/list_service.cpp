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

const platform::PlatformList &ListService::present() const
{
    return m_table.m_versions.back();
}

void ListService::put(platform::PlatformList list, fleet::TimePoint now)
{
    change(m_table, std::move(list), now);
}

void ListService::serve(const http::Request &request, fleet::TimePoint now, const FaultGate::Reply &reply)
{
    if (!isCall(request, "GET", "/v1/list")) {
        reply(unknownPath());
        return;
    }
    const auto shown = m_frozen ? *m_frozen : listAt(m_table, now - m_lag - m_extraLag);
    const std::string tag = platform::listEntityTag(shown);
    const std::vector<http::Header> headers {{"ETag", tag}, {"As-Of", std::to_string(fleet::toMilliseconds(shown.m_asOf))}};
    if (http::headerValue(request, "If-None-Match") == tag) {
        reply({304, {}, "application/json", headers});
        return;
    }
    reply({200, platform::encodeList(shown), "application/json", headers});
}

void ListService::onFaults(const Faults &faults, fleet::TimePoint now)
{
    m_extraLag = faults.m_lag;
    if (!faults.m_stale) {
        m_frozen.reset();
    } else if (!m_frozen) {
        m_frozen = listAt(m_table, now - m_lag);
    }
}

}
