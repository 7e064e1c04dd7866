#include "components/logging/line_log.hpp"

#include "components/logging/line_limiter.hpp"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <ctime>
#include <future>
#include <thread>
#include <utility>

namespace logging
{

namespace
{

/// Batches that may be queued for a slow reader of standard output.
constexpr int maxQueuedBatches = 128;
/// A batch is passed to the library at this size in bytes, or when its first line is this old. Each batch wakes a thread,
/// which costs more than formatting the lines.
constexpr std::size_t maxBatchBytes = 8192;
constexpr fleet::Duration maxBatchAge {100};
constexpr fleet::Duration suppressedReportInterval {1000};

const char *nameOf(Level level)
{
    switch (level) {
    case Level::Debug:
        return "debug";
    case Level::Info:
        return "info";
    case Level::Warning:
        return "warning";
    case Level::Error:
        return "error";
    }
    return "";
}

std::string formatTime(fleet::TimePoint time)
{
    constexpr std::size_t size = 32;
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    const std::time_t whole = std::chrono::system_clock::to_time_t(seconds);
    std::tm parts {};
    ::gmtime_r(&whole, &parts);
    std::array<char, size> text {};
    const std::size_t length = std::strftime(text.data(), size, "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string milliseconds = std::to_string((time - seconds).count());
    return std::string(text.data(), length) + '.' + std::string(3 - milliseconds.size(), '0') + milliseconds + 'Z';
}

}

struct LineLog::Core
{
    log4cxx::LoggerPtr m_logger;
    Level m_level = Level::Info;
    LineLimiter m_limiter;
    std::string m_batch;
    fleet::BootTime m_batchStartedAt;
    fleet::BootTime m_suppressedReportedAt;
    bool m_isClosed = false;

    void flushBatch()
    {
        if (!m_batch.empty()) {
            m_logger->forcedLog(log4cxx::Level::getInfo(), m_batch);
            m_batch.clear();
        }
    }
};

LineLog::LineLog(Level level, const LineBudget &budget)
    : m_core(std::make_unique<Core>())
{
    m_core->m_level = level;
    m_core->m_limiter.m_budget = budget;
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m"));
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(maxQueuedBatches);
    queue->setBlocking(false);
    queue->addAppender(console);
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(queue);
    m_core->m_logger = log4cxx::Logger::getRootLogger();
}

LineLog::~LineLog()
{
    if (!m_core->m_isClosed) {
        m_core->flushBatch();
        log4cxx::LogManager::shutdown();
    }
}

bool LineLog::close(fleet::Duration limit)
{
    m_core->flushBatch();
    m_core->m_isClosed = true;
    std::packaged_task<void()> shutdown([] {
        log4cxx::LogManager::shutdown();
    });
    const std::future<void> done = shutdown.get_future();
    std::thread(std::move(shutdown)).detach();
    return done.wait_for(limit) == std::future_status::ready;
}

void LineLog::write(const Line &line, fleet::Now now)
{
    if (line.level() < m_core->m_level || !admitLine(m_core->m_limiter, std::string(line.part()) + '/' + line.event(), now.m_boot)) {
        return;
    }
    if (m_core->m_batch.empty()) {
        m_core->m_batchStartedAt = now.m_boot;
    }
    m_core->m_batch += "time=" + formatTime(now.m_wall) + " level=" + nameOf(line.level()) + ' ' + line.text() + '\n';
    if (m_core->m_batch.size() >= maxBatchBytes) {
        m_core->flushBatch();
    }
}

void LineLog::tick(fleet::Now now)
{
    if (now.m_boot - m_core->m_suppressedReportedAt >= suppressedReportInterval) {
        m_core->m_suppressedReportedAt = now.m_boot;
        for (const auto &[kind, count] : takeSuppressed(m_core->m_limiter)) {
            write(Line("log", "suppressed", Level::Warning).add("kind", kind).add("lines", count), now);
        }
    }
    if (now.m_boot - m_core->m_batchStartedAt >= maxBatchAge) {
        m_core->flushBatch();
    }
}

}
