#include "components/jobs/job_id.hpp"

#include <algorithm>
#include <charconv>

namespace jobs
{

namespace
{

constexpr std::size_t digits = 16;
constexpr int base = 16;

}

std::string toString(JobId job)
{
    std::string text(digits, '0');
    char buffer[digits];
    const auto end = std::to_chars(buffer, buffer + digits, job.m_value, base).ptr;
    std::copy_backward(buffer, end, text.data() + digits);
    return text;
}

std::optional<JobId> parseJobId(std::string_view text)
{
    const bool isLowerCaseHex = std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
    if (text.size() != digits || !isLowerCaseHex) {
        return std::nullopt;
    }
    JobId job;
    std::from_chars(text.data(), text.data() + text.size(), job.m_value, base);
    return job;
}

}
