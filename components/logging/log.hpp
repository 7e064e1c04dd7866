#ifndef COMPONENTS_LOGGING_LOG_HPP
#define COMPONENTS_LOGGING_LOG_HPP

#include "components/logging/level.hpp"

#include <memory>
#include <string>

namespace logging
{

/// Sends every line of the process to standard error, from `level` up. Call once, before threads start.
void setUp(Level level);

/// Writes the lines of one part of the program, each with the part's name as a fixed prefix. Safe from any thread.
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
