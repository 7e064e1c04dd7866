#ifndef COMPONENTS_PLATFORM_STANDIN_STORE_SERVER_CODEC_HPP
#define COMPONENTS_PLATFORM_STANDIN_STORE_SERVER_CODEC_HPP

#include "components/store/append_call.hpp"
#include "components/store/append_result.hpp"
#include "components/store/keyed_record.hpp"
#include "components/store/read_call.hpp"
#include "components/store/read_result.hpp"

#include <optional>
#include <vector>

namespace http
{
struct Request;
struct Response;
}

namespace platform_standin
{

/// Server side of the store's protocol. The decoders return nothing if the request is malformed.
std::optional<store::AppendCall> decodeAppendRequest(const http::Request &request);
http::Response encodeAppendResponse(const store::AppendResult &result);

std::optional<store::ReadCall> decodeReadRequest(const http::Request &request);
http::Response encodeReadResponse(const store::ReadCall &call, const store::ReadResult &result, const std::vector<std::string> &keys);

std::optional<store::Topic> decodeTopic(const http::Request &request);
http::Response encodeNewestResponse(const std::vector<store::KeyedRecord> &records, std::uint64_t end);

}

#endif
