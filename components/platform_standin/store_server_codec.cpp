#include "components/platform_standin/store_server_codec.hpp"

#include "components/http/request.hpp"
#include "components/http/request_target.hpp"
#include "components/http/response.hpp"
#include "platform/big_endian.hpp"
#include "platform/store_codec.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <string_view>

namespace platform_standin
{

namespace
{

namespace json = boost::json;

constexpr int statusConflict = 409;
constexpr int statusGone = 410;
constexpr int statusPreconditionFailed = 412;
constexpr int statusUnavailable = 503;
constexpr std::string_view keyedPrefix = "keyed.";

std::optional<std::uint64_t> queryNumber(const http::Request &request, std::string_view name)
{
    const auto text = http::queryValue(request.m_target, name);
    std::uint64_t value = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc()) {
        return std::nullopt;
    }
    return value;
}

/// Parses the records in the body of an append; false if it is malformed.
bool parseRecords(std::string_view bytes, store::AppendCall &call)
{
    while (!bytes.empty()) {
        if (bytes.size() < platform::recordLengthBytes) {
            return false;
        }
        const std::uint64_t length = platform::readBigEndian(bytes, platform::recordLengthBytes);
        if (bytes.size() < length) {
            return false;
        }
        const std::string_view record = bytes.substr(0, length);
        bytes.remove_prefix(length);
        if (!call.m_topic.m_isKeyed) {
            call.m_records.emplace_back(record);
            continue;
        }
        auto keyed = platform::decodeKeyedRecord(record, 0);
        if (!keyed) {
            return false;
        }
        call.m_keys.push_back(std::move(keyed->m_key));
        call.m_records.push_back(std::move(keyed->m_value));
    }
    return true;
}

http::Response makeJsonResponse(int status, const json::object &body)
{
    http::Response response;
    response.m_status = status;
    response.m_body = json::serialize(body);
    return response;
}

std::string encodeBase64(std::string_view bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

}

std::optional<store::Topic> decodeTopic(const http::Request &request)
{
    const auto name = http::queryValue(request.m_target, "topic");
    const auto part = queryNumber(request, "part");
    if (!name || !part) {
        return std::nullopt;
    }
    const bool isKeyed = name->starts_with(keyedPrefix);
    return store::Topic {isKeyed ? name->substr(keyedPrefix.size()) : *name, static_cast<std::uint32_t>(*part), isKeyed};
}

std::optional<store::AppendCall> decodeAppendRequest(const http::Request &request)
{
    const auto topic = decodeTopic(request);
    if (!topic) {
        return std::nullopt;
    }
    store::AppendCall call;
    call.m_topic = *topic;
    call.m_requiredEnd = queryNumber(request, "at");
    if (const auto producer = http::queryValue(request.m_target, "producer")) {
        call.m_producer = store::Producer {*producer, queryNumber(request, "epoch").value_or(0), queryNumber(request, "seq").value_or(0)};
    }
    return parseRecords(request.m_body, call) ? std::optional(std::move(call)) : std::nullopt;
}

http::Response encodeAppendResponse(const store::AppendResult &result)
{
    http::Response response;
    switch (result.m_outcome) {
    case store::AppendOutcome::Stored:
        return makeJsonResponse(response.m_status, {{"offset", result.m_first}, {"end", result.m_end}});
    case store::AppendOutcome::Fenced:
        return makeJsonResponse(statusConflict, {{"reason", "fenced"}});
    case store::AppendOutcome::OutOfSequence:
        return makeJsonResponse(statusConflict, {{"reason", "seq"}, {"seq", result.m_expected}});
    case store::AppendOutcome::EndMoved:
        return makeJsonResponse(statusPreconditionFailed, {{"end", result.m_end}});
    default:
        return makeJsonResponse(statusUnavailable, {});
    }
}

std::optional<store::ReadCall> decodeReadRequest(const http::Request &request)
{
    const auto topic = decodeTopic(request);
    const auto from = queryNumber(request, "from");
    if (!topic || !from) {
        return std::nullopt;
    }
    return store::ReadCall {*topic, *from, fleet::Duration(queryNumber(request, "wait_ms").value_or(0))};
}

http::Response encodeReadResponse(const store::ReadCall &call, const store::ReadResult &result, const std::vector<std::string> &keys)
{
    if (result.m_outcome == store::ReadOutcome::Expired) {
        return makeJsonResponse(statusGone, {{"first", result.m_oldest}});
    }
    http::Response response;
    response.m_contentType = "application/octet-stream";
    platform::appendBigEndian(response.m_body, result.m_end, platform::offsetBytes);
    platform::appendBigEndian(response.m_body, result.m_oldest, platform::offsetBytes);
    for (std::size_t i = 0; i < result.m_records.size(); ++i) {
        const std::string record = call.m_topic.m_isKeyed ? platform::encodeKeyedRecord(keys[call.m_from + i], result.m_records[i]) : result.m_records[i];
        platform::appendBigEndian(response.m_body, record.size(), platform::recordLengthBytes);
        response.m_body += record;
    }
    return response;
}

http::Response encodeNewestResponse(const std::vector<store::KeyedRecord> &records, std::uint64_t end)
{
    json::array items;
    for (const store::KeyedRecord &record : records) {
        if (!record.m_value.empty()) {
            items.push_back(json::object {{"key", record.m_key}, {"value", encodeBase64(record.m_value)}, {"offset", record.m_offset}});
        }
    }
    http::Response response;
    response.m_body = json::serialize(json::object {{"items", std::move(items)}, {"more", false}, {"end", end}});
    return response;
}

}
