#ifndef COMPONENTS_PLATFORM_WORKER_CODEC_HPP
#define COMPONENTS_PLATFORM_WORKER_CODEC_HPP

#include "components/platform/command_message.hpp"
#include "components/platform/command_result.hpp"
#include "components/platform/usage_report.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace http
{
struct Result;
}

namespace platform
{

std::string encodeCommands(const CommandMessage &message);
/// Decodes a command message that `worker` received.
/// @throws DecodeError
CommandMessage decodeCommands(std::string_view text, const fleet::WorkerId &worker);

std::string encodeTaskReport(fleet::FencingToken fence, const std::vector<scheduler::TaskStatus> &tasks);
std::string encodeFenced(fleet::FencingToken fence);

/// Converts the HTTP result of sending a command message. A response that cannot be decoded gives Unknown.
CommandResult toCommandResult(const http::Result &result);

std::string encodeUsage(const UsageReport &usage);
/// @throws DecodeError
UsageReport decodeUsage(std::string_view text);

}

#endif
