#ifndef COMPONENTS_DISPATCH_UPKEEP_HPP
#define COMPONENTS_DISPATCH_UPKEEP_HPP

#include "components/journal/upkeep_ordered.hpp"
#include "components/machines/upkeep_order.hpp"
#include "components/machines/upkeep_outcome.hpp"
#include "components/machines/wave_report.hpp"

namespace dispatch
{

struct Context;
struct State;

/// Keeps new runs from machines that are drained or ordered down, also by an earlier holder, whose orders may still be under way.
void cordonMachines(Context &context);

/// Advances the upkeep waves: chooses machines, drains them, orders their upkeep, and reports the progress of the waves.
void advanceWaves(Context &context);

void applyUpkeepResult(Context &context, const machines::UpkeepOrder &order, machines::UpkeepOutcome outcome);
/// Handles that the journal has stored that a machine is ordered down. From now on the order may be sent.
void recordUpkeepStored(State &state, const journal::UpkeepOrdered &stored);
void applyReportResult(Context &context, const machines::WaveReport &report, bool isStored);

}

#endif
