#include "components/settings/file_watch.hpp"

#include <system_error>
#include <utility>

namespace settings
{

FileWatch::FileWatch(std::string file, fleet::Duration interval)
    : m_file(std::move(file))
    , m_interval(interval)
    , m_lastWriteTime(lastWriteTime())
{
}

bool FileWatch::hasChanged(fleet::BootTime now)
{
    if (now - m_checkedAt < m_interval) {
        return false;
    }
    m_checkedAt = now;
    const auto before = std::exchange(m_lastWriteTime, lastWriteTime());
    return before != m_lastWriteTime;
}

std::filesystem::file_time_type FileWatch::lastWriteTime() const
{
    // A file that is being replaced may be missing for a moment; it is checked again after the next interval.
    std::error_code error;
    const auto time = std::filesystem::last_write_time(m_file, error);
    return error ? m_lastWriteTime : time;
}

}
