#ifndef COMPONENTS_DISPATCH_SCHEDULER_EVENTS_HPP
#define COMPONENTS_DISPATCH_SCHEDULER_EVENTS_HPP

#include "components/dispatch/environment.hpp"
#include "components/dispatch/outbox.hpp"
#include "components/dispatch/state.hpp"
#include "components/fleet/now.hpp"
#include "components/machines/upkeep_outcome.hpp"
#include "components/workers/advice_answer.hpp"
#include "components/workers/advice_question.hpp"
#include "components/workers/order_result.hpp"
#include "components/workers/poll_result.hpp"

#include <set>
#include <vector>

namespace dispatch
{

/// Takes over the open runs in the journal. Workers that do not answer may hold leases of earlier holders until
/// `predecessorLeaseUntil`.
Outbox takeOver(State &state, const Environment &environment, fleet::BootTime predecessorLeaseUntil, fleet::Now now);

/// Records that all earlier holders are known to have ended, so that their leases expire by `until`.
void recordFormerHoldersEnded(State &state, fleet::BootTime until);

/// The platform's worker list was read; `registrations` is the complete list.
Outbox onListRead(State &state, const Environment &environment, const std::vector<workers::Registration> &registrations, fleet::Now now);

Outbox onPollEnded(
    State &state, const Environment &environment, const workers::PollOrder &order, fleet::BootTime sentAt, const workers::PollResult &result, fleet::Now now);
Outbox onStartEnded(State &state, const Environment &environment, const workers::StartOrder &order, const workers::OrderResult &result, fleet::Now now);
Outbox onStopEnded(State &state, const Environment &environment, const workers::StopOrder &order, const workers::OrderResult &result, fleet::Now now);

/// A question to the advice service was answered or failed.
Outbox onAdviceEnded(State &state,
                     const Environment &environment,
                     const workers::AdviceQuestion &question,
                     fleet::BootTime sentAt,
                     const workers::AdviceAnswer &answer,
                     fleet::Now now);

/// The records of a batch are stored.
Outbox onStored(State &state, const Environment &environment, std::uint64_t batch, fleet::Now now);

/// Jobs were accepted or cancelled.
Outbox onJobsChanged(State &state, const Environment &environment, const std::vector<jobs::JobId> &jobs, fleet::Now now);

/// An upkeep order for a machine was answered or failed.
Outbox onUpkeepEnded(State &state, const Environment &environment, const machines::UpkeepOrder &order, machines::UpkeepOutcome outcome, fleet::Now now);

/// A report on an upkeep wave was stored, or failed to be.
Outbox onWaveReported(State &state, const Environment &environment, const machines::WaveReport &report, bool isStored, fleet::Now now);

/// Handles the passage of time: expired leases, overdue runs, upkeep waves, zones that may be partitioned, and due occurrences.
Outbox onTick(State &state, const Environment &environment, const std::set<fleet::ZoneId> &suspectedZones, fleet::Now now);

/// Plans if a plan is due, and sends the orders and polls that are due. Called once for all events that were waiting, since a plan
/// costs the same for one event as for many.
Outbox runSchedulingCycle(State &state, const Environment &environment, fleet::Now now);

}

#endif
