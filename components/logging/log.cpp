#include "components/logging/log.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace logging
{

namespace
{

log4cxx::LevelPtr toLog4cxx(Level level)
{
    switch (level) {
    case Level::Debug:
        return log4cxx::Level::getDebug();
    case Level::Info:
        return log4cxx::Level::getInfo();
    case Level::Warning:
        return log4cxx::Level::getWarn();
    case Level::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

}

struct Log::Writer
{
    log4cxx::LoggerPtr m_logger;
};

void setUp(Level level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p [%c] %m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(toLog4cxx(level));
}

Log::Log(const std::string &part)
    : m_writer(std::make_unique<Writer>(Writer {log4cxx::Logger::getLogger(part)}))
{
}

Log::~Log() = default;

void Log::debug(const std::string &message) const
{
    LOG4CXX_DEBUG(m_writer->m_logger, message);
}

void Log::info(const std::string &message) const
{
    LOG4CXX_INFO(m_writer->m_logger, message);
}

void Log::warning(const std::string &message) const
{
    LOG4CXX_WARN(m_writer->m_logger, message);
}

void Log::error(const std::string &message) const
{
    LOG4CXX_ERROR(m_writer->m_logger, message);
}

}
