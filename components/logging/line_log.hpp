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
/// Never blocks: lines are gathered for a moment and go through a bounded queue to a thread of the library. What does not
/// fit there, or is beyond the budget of its kind, is left out and counted.
class LineLog
{
public:
    LineLog(Level level, const LineBudget &budget);
    /// Writes what is gathered and queued, however long that takes.
    ~LineLog();

    LineLog(const LineLog &) = delete;
    LineLog &operator=(const LineLog &) = delete;

    void write(const Line &line, fleet::Now now);

    /// Hands on what was gathered some time ago, and says how many lines of each kind were left out. Call it regularly.
    void tick(fleet::Now now);

    /// Writes what is gathered and queued; nothing may be written after that.
    /// @return false where the reader of standard output did not take it within the limit.
    bool close(fleet::Duration limit);

private:
    struct Core;
    std::unique_ptr<Core> m_core;
};

}

#endif
