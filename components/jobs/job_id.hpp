#ifndef COMPONENTS_JOBS_JOB_ID_HPP
#define COMPONENTS_JOBS_JOB_ID_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace jobs
{

/// Number of a job, chosen by its caller. Written as 16 hexadecimal digits.
struct JobId
{
    std::uint64_t m_value = 0;

    auto operator<=>(const JobId &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_value);
    }
};

std::string toString(JobId job);

/// Returns nothing if the text is not 16 lower-case hexadecimal digits.
std::optional<JobId> parseJobId(std::string_view text);

}

template<>
struct std::hash<jobs::JobId>
{
    std::size_t operator()(jobs::JobId job) const noexcept
    {
        return std::hash<std::uint64_t>()(job.m_value);
    }
};

#endif
