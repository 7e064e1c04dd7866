#ifndef COMPONENTS_REPORT_BURN_HPP
#define COMPONENTS_REPORT_BURN_HPP

#include "components/fleet/time.hpp"
#include "components/report/objective.hpp"
#include "components/report/objective_targets.hpp"
#include "components/report/stats_history.hpp"
#include "components/report/tally.hpp"

#include <optional>
#include <vector>

namespace report
{

/// How fast one objective consumed its error budget in one time window.
struct Burn
{
    Objective m_objective = Objective::CompletionTime;
    fleet::Duration m_window {0};
    Tally m_tally;
    double m_target = 1.0;
    /// Burn rate: the share of bad events divided by the share that the target allows. At a rate of 1 the error budget is
    /// used up exactly at the end of its period. Empty if the window has no events.
    std::optional<double> m_rate;

    bool operator==(const Burn &) const = default;
};

/// Calculates the burn of every objective over windows of 1 hour, 6 hours, 3 days and 30 days that end with the current
/// hour.
std::vector<Burn> calculateBurns(const StatsHistory &history, const ObjectiveTargets &targets, fleet::TimePoint now);

}

#endif
