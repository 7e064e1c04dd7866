#include "components/platform/log_codec.hpp"

#include "components/http/result.hpp"
#include "components/platform/base64.hpp"
#include "components/platform/decode_error.hpp"
#include "components/platform/json_fields.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace platform
{

namespace
{

constexpr int statusOk = 200;

AppendResult decodeAppendAnswer(const http::Response &response)
{
    const auto object = parseObject(response.m_body);
    if (response.m_status == statusOk) {
        return {AppendKind::Appended, static_cast<std::uint64_t>(nonNegativeField(object, "offset")), {}};
    }
    const bool refused = !boolField(object, "appended", true);
    const auto reason = "the log answered with status " + std::to_string(response.m_status);
    return {refused ? AppendKind::NotAppended : AppendKind::Unknown, 0, reason};
}

}

std::string encodeLogPage(const LogPage &page)
{
    boost::json::array records;
    for (const auto &record : page.m_records) {
        records.push_back({{"offset", record.m_offset}, {"at", fleet::toMilliseconds(record.m_at)}, {"body", encodeBase64(record.m_body)}});
    }
    return boost::json::serialize(boost::json::object {{"first", page.m_firstOffset}, {"end", page.m_endOffset}, {"records", std::move(records)}});
}

LogPage decodeLogPage(std::string_view text)
{
    const auto object = parseObject(text);
    LogPage page;
    page.m_firstOffset = static_cast<std::uint64_t>(nonNegativeField(object, "first"));
    page.m_endOffset = static_cast<std::uint64_t>(nonNegativeField(object, "end"));
    for (const auto &element : arrayField(object, "records")) {
        const auto &record = asObject(element);
        page.m_records.push_back({static_cast<std::uint64_t>(nonNegativeField(record, "offset")),
                                  fleet::fromMilliseconds(nonNegativeField(record, "at")),
                                  decodeBase64(stringField(record, "body"))});
    }
    return page;
}

std::string encodeAppended(std::uint64_t offset)
{
    return boost::json::serialize(boost::json::object {{"offset", offset}});
}

std::string encodeNotAppended()
{
    return boost::json::serialize(boost::json::object {{"appended", false}});
}

AppendResult toAppendResult(const http::Result &result)
{
    if (result.m_kind == http::ResultKind::NotSent) {
        return {AppendKind::NotAppended, 0, result.m_reason};
    }
    if (result.m_kind == http::ResultKind::Unknown) {
        return {AppendKind::Unknown, 0, result.m_reason};
    }
    try {
        return decodeAppendAnswer(result.m_response);
    } catch (const DecodeError &error) {
        return {AppendKind::Unknown, 0, error.what()};
    }
}

}
