#ifndef COMPONENTS_LOGGING_LOG_HPP
#define COMPONENTS_LOGGING_LOG_HPP

#include "components/logging/level.hpp"

#include <memory>
#include <string>

namespace logging
{

/// Sends all lines of the process from `level` up to standard error. Call once, before threads start.
void setUp(Level level);

/// Writes log lines of one part of the program, prefixed with the part's name. Thread-safe.
class Log
{
public:
    /// `part` is a short lower-case name such as "scheduler".
    explicit Log(const std::string &part);
    ~Log();

    Log(const Log &) = delete;
    Log &operator=(const Log &) = delete;

    void debug(const std::string &message) const;
    void info(const std::string &message) const;
    void warning(const std::string &message) const;
    void error(const std::string &message) const;

private:
    struct Writer;
    std::unique_ptr<Writer> m_writer;
};

}

#endif
