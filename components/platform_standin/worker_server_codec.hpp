#ifndef COMPONENTS_PLATFORM_STANDIN_WORKER_SERVER_CODEC_HPP
#define COMPONENTS_PLATFORM_STANDIN_WORKER_SERVER_CODEC_HPP

#include "components/workers/order_result.hpp"
#include "components/workers/poll_order.hpp"
#include "components/workers/poll_result.hpp"
#include "components/workers/registration.hpp"
#include "components/workers/start_order.hpp"
#include "components/workers/stop_order.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace http
{
struct Request;
struct Response;
}

namespace platform_standin
{

/// Server side of the workers' protocol. The decoders return nothing if the request is malformed.
std::optional<workers::StartOrder> decodeStartRequest(const http::Request &request, const workers::WorkerIncarnation &target);
std::optional<workers::StopOrder> decodeStopRequest(const http::Request &request, const workers::WorkerIncarnation &target);
std::optional<workers::PollOrder> decodePollRequest(const http::Request &request, const workers::WorkerIncarnation &target);

http::Response encodeOrderResponse(const workers::OrderResult &result);
http::Response encodePollResponse(const workers::PollResult &result, std::int64_t startedAtMs);

/// Encodes a worker's entry in the platform's worker list.
std::string encodeRegistration(const workers::Registration &registration, std::int64_t clockMs, std::uint64_t sequence);

}

#endif
