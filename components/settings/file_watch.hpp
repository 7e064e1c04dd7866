#ifndef COMPONENTS_SETTINGS_FILE_WATCH_HPP
#define COMPONENTS_SETTINGS_FILE_WATCH_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/time.hpp"

#include <filesystem>
#include <string>

namespace settings
{

/// Notices that a settings file was written again, also where nobody sent a signal.
class FileWatch
{
public:
    /// The file is looked at no more often than once an interval.
    FileWatch(std::string file, fleet::Duration interval);

    /// True where the file was written since it was last looked at.
    bool hasChanged(fleet::BootTime now);

private:
    std::filesystem::file_time_type lastWriteTime() const;

    std::string m_file;
    fleet::Duration m_interval;
    fleet::BootTime m_checkedAt;
    std::filesystem::file_time_type m_lastWriteTime;
};

}

#endif
