#ifndef COMPONENTS_LOGGING_LINE_LOG_HPP
#define COMPONENTS_LOGGING_LINE_LOG_HPP

#include "components/fleet/now.hpp"
#include "components/logging/level.hpp"
#include "components/logging/line.hpp"
#include "components/logging/line_budget.hpp"

#include <memory>

namespace logging
{

/// Writes structured lines to standard output, from one thread.
///
/// Never blocks: lines are collected into batches, which pass through a bounded queue to a thread of the library. Lines that
/// do not fit there, or that exceed the budget of their kind, are dropped and counted.
class LineLog
{
public:
    LineLog(Level level, const LineBudget &budget);
    /// Writes all pending lines, however long that takes.
    ~LineLog();

    LineLog(const LineLog &) = delete;
    LineLog &operator=(const LineLog &) = delete;

    void write(const Line &line, fleet::Now now);

    /// Flushes a batch that is old enough and logs how many lines of each kind were suppressed. Must be called regularly.
    void tick(fleet::Now now);

    /// Writes all pending lines; no lines may be written after that.
    /// @return false if the reader of standard output did not accept them within the limit.
    bool close(fleet::Duration limit);

private:
    struct Core;
    std::unique_ptr<Core> m_core;
};

}

#endif
