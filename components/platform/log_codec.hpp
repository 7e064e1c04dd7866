#ifndef COMPONENTS_PLATFORM_LOG_CODEC_HPP
#define COMPONENTS_PLATFORM_LOG_CODEC_HPP

#include "components/platform/append_result.hpp"
#include "components/platform/log_page.hpp"

#include <string>
#include <string_view>

namespace http
{
struct Result;
}

namespace platform
{

std::string encodeLogPage(const LogPage &page);
/// @throws DecodeError
LogPage decodeLogPage(std::string_view text);

std::string encodeAppended(std::uint64_t offset);
std::string encodeNotAppended();

/// Converts the HTTP result of an append. A response that cannot be decoded gives Unknown, because the record may have
/// been appended.
AppendResult toAppendResult(const http::Result &result);

}

#endif
