#ifndef COMPONENTS_DISPATCH_UPKEEP_HPP
#define COMPONENTS_DISPATCH_UPKEEP_HPP

#include "components/machines/upkeep_order.hpp"
#include "components/machines/upkeep_outcome.hpp"
#include "components/machines/wave_report.hpp"

namespace dispatch
{

struct Context;

/// Advances the upkeep waves: chooses machines, drains them, orders their upkeep, and reports the progress of the waves.
void advanceWaves(Context &context);

void applyUpkeepResult(Context &context, const machines::UpkeepOrder &order, machines::UpkeepOutcome outcome);
void applyReportResult(Context &context, const machines::WaveReport &report, bool isStored);

}

#endif
