#ifndef COMPONENTS_PLATFORM_STANDIN_WORKER_WIRE_HPP
#define COMPONENTS_PLATFORM_STANDIN_WORKER_WIRE_HPP

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

/// A worker's side of its protocol. Nothing where the request is malformed.
std::optional<workers::StartOrder> decodeStart(const http::Request &request, const workers::WorkerIncarnation &on);
std::optional<workers::StopOrder> decodeStop(const http::Request &request, const workers::WorkerIncarnation &on);
std::optional<workers::PollOrder> decodeLook(const http::Request &request, const workers::WorkerIncarnation &on);

http::Response encodeOrderResult(const workers::OrderResult &result);
http::Response encodeLook(const workers::PollResult &result, std::int64_t born);

/// What a worker writes of itself to the platform's list.
std::string encodeRegistration(const workers::Registration &registration, std::int64_t clockMs, std::uint64_t sequence);

}

#endif
