#ifndef COMPONENTS_PLATFORM_RUNNER_CODEC_HPP
#define COMPONENTS_PLATFORM_RUNNER_CODEC_HPP

#include "components/platform/run_request.hpp"
#include "components/platform/run_result.hpp"
#include "components/platform/runner_load.hpp"

#include <string>
#include <string_view>

namespace http
{
struct Result;
}

namespace platform
{

std::string encodeRunRequest(const RunRequest &request);
/// @throws DecodeError
RunRequest decodeRunRequest(std::string_view text);

std::string encodeRunDone(const RunRequest &request, const std::string &body);
std::string encodeDidNotRun(const RunRequest &request);

/// Converts the HTTP result of sending `request`. A response that names another request or attempt, or cannot be decoded,
/// says nothing about this request and gives Unknown.
RunResult toRunResult(const http::Result &result, const RunRequest &request);

std::string encodeLoad(const RunnerLoad &load);
/// @throws DecodeError
RunnerLoad decodeLoad(std::string_view text);

}

#endif
