#ifndef COMPONENTS_SETTINGS_FILE_WATCH_HPP
#define COMPONENTS_SETTINGS_FILE_WATCH_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/time.hpp"

#include <filesystem>
#include <string>

namespace settings
{

/// Detects changes of a settings file, so that a reload does not depend on a signal.
class FileWatch
{
public:
    /// Checks the file at most once per interval.
    FileWatch(std::string file, fleet::Duration interval);

    /// True if the file was written since the last check.
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
