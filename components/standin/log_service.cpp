#include "components/standin/log_service.hpp"

#include "components/http/request_target.hpp"
#include "components/platform/decode_error.hpp"
#include "components/platform/log_codec.hpp"
#include "components/standin/routes.hpp"

#include <algorithm>
#include <charconv>

namespace standin
{

namespace
{

constexpr int statusUnavailable = 503;
constexpr std::uint64_t defaultLimit = 500;
constexpr std::uint64_t maxRecords = 5000;

std::uint64_t numberParameter(const http::Request &request, std::string_view name, std::uint64_t fallback)
{
    const auto text = http::queryValue(request.m_target, name);
    if (!text) {
        return fallback;
    }
    std::uint64_t number = 0;
    const auto [rest, error] = std::from_chars(text->data(), text->data() + text->size(), number);
    if (error != std::errc() || rest != text->data() + text->size()) {
        throw platform::DecodeError("the parameter '" + std::string(name) + "' is wrong; send a whole number from 0 up");
    }
    return number;
}

}

LogService::LogService(EventLoop &loop, fleet::Duration retention)
    : Service(loop, http::Response {statusUnavailable, platform::encodeNotAppended(), "application/json", {}})
{
    m_streams.m_retention = retention;
}

void LogService::serve(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply)
{
    const auto path = http::pathSegments(request.m_target);
    const bool isRecords = path.size() == 4 && path[0] == "v1" && path[1] == "streams" && path[3] == "records";
    http::Response response = unknownPathResponse();
    if (isRecords && request.m_method == "POST") {
        response = {200, platform::encodeAppended(append(m_streams, path[2], request.m_body, now)), "application/json", {}};
    } else if (isRecords && request.m_method == "GET") {
        response = readPage(request, path[2], now);
    }
    reply(response);
}

http::Response LogService::readPage(const http::Request &request, const std::string &stream, fleet::TimePoint now)
{
    const auto from = numberParameter(request, "from", 0);
    const auto limit = std::min(numberParameter(request, "limit", defaultLimit), maxRecords);
    return {200, platform::encodeLogPage(read(m_streams, stream, from, limit, now)), "application/json", {}};
}

}
