#ifndef COMPONENTS_DISPATCH_SCHEDULER_EVENTS_HPP
#define COMPONENTS_DISPATCH_SCHEDULER_EVENTS_HPP

#include "components/dispatch/environment.hpp"
#include "components/dispatch/outbox.hpp"
#include "components/dispatch/state.hpp"
#include "components/fleet/now.hpp"
#include "components/machines/upkeep_outcome.hpp"
#include "components/workers/advice_answer.hpp"
#include "components/workers/advice_question.hpp"
#include "components/workers/look_result.hpp"
#include "components/workers/order_result.hpp"

#include <set>
#include <vector>

namespace dispatch
{

/// Takes over what the journal says is open. Workers that do not answer may hold leases of the holder before until
/// `foreignLeaseUntil`.
Outbox takeOver(State &state, const Environment &environment, fleet::BootTime predecessorLeaseUntil, fleet::Now now);

/// Every holder before is known to have ended: what it promised lapses by `until`.
void noteFormerHoldersEnded(State &state, fleet::BootTime until);

/// The platform's list of workers was read; `registrations` is all of it.
Outbox onListRead(State &state, const Environment &environment, const std::vector<workers::Registration> &registrations, fleet::Now now);

Outbox onPollEnded(
    State &state, const Environment &environment, const workers::LookOrder &order, fleet::BootTime sentAt, const workers::LookResult &result, fleet::Now now);
Outbox onStartEnded(State &state, const Environment &environment, const workers::StartOrder &order, const workers::OrderResult &result, fleet::Now now);
Outbox onStopEnded(State &state, const Environment &environment, const workers::StopOrder &order, const workers::OrderResult &result, fleet::Now now);

/// The advice service answered, or did not.
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

/// An order for a machine ended.
Outbox onUpkeepEnded(State &state, const Environment &environment, const machines::UpkeepOrder &order, machines::UpkeepOutcome outcome, fleet::Now now);

/// A report on a wave was stored, or was not.
Outbox onWaveReported(State &state, const Environment &environment, const machines::WaveReport &report, bool isStored, fleet::Now now);

/// Time passed: leases, retries and due occurrences.
Outbox onTick(State &state, const Environment &environment, const std::set<fleet::ZoneId> &suspectedZones, fleet::Now now);

/// Plans and gives the orders that are due. Called once for all events that were waiting, since a plan costs the same for
/// one event as for many.
Outbox runSchedulingCycle(State &state, const Environment &environment, fleet::Now now);

}

#endif
