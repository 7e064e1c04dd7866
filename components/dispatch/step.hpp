#ifndef COMPONENTS_DISPATCH_STEP_HPP
#define COMPONENTS_DISPATCH_STEP_HPP

#include "components/dispatch/outbox.hpp"
#include "components/dispatch/state.hpp"
#include "components/dispatch/surroundings.hpp"
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

/// Takes over what the journal says is open. Workers that do not answer may hold leases of the holder before until
/// `foreignLeaseUntil`.
Outbox takeOver(State &state, const Surroundings &around, fleet::BootTime foreignLeaseUntil, fleet::Now now);

/// Every holder before is known to have ended: what it promised lapses by `until`.
void noteFormerHoldersEnded(State &state, fleet::BootTime until);

/// The platform's list of workers was read; `registrations` is all of it.
Outbox onListRead(State &state, const Surroundings &around, const std::vector<workers::Registration> &registrations, fleet::Now now);

Outbox onLookEnded(
    State &state, const Surroundings &around, const workers::PollOrder &order, fleet::BootTime sentAt, const workers::PollResult &result, fleet::Now now);
Outbox onStartEnded(State &state, const Surroundings &around, const workers::StartOrder &order, const workers::OrderResult &result, fleet::Now now);
Outbox onStopEnded(State &state, const Surroundings &around, const workers::StopOrder &order, const workers::OrderResult &result, fleet::Now now);

/// The advice service answered, or did not.
Outbox onAdviceEnded(State &state,
                     const Surroundings &around,
                     const workers::AdviceQuestion &question,
                     fleet::BootTime sentAt,
                     const workers::AdviceAnswer &answer,
                     fleet::Now now);

/// The records of a batch are stored.
Outbox onStored(State &state, const Surroundings &around, std::uint64_t batch, fleet::Now now);

/// Jobs were accepted or cancelled.
Outbox onJobsChanged(State &state, const Surroundings &around, const std::vector<jobs::JobId> &jobs, fleet::Now now);

/// An order for a machine ended.
Outbox onUpkeepEnded(State &state, const Surroundings &around, const machines::UpkeepOrder &order, machines::UpkeepOutcome outcome, fleet::Now now);

/// A report on a wave was stored, or was not.
Outbox onWaveReported(State &state, const Surroundings &around, const machines::WaveReport &report, bool isStored, fleet::Now now);

/// Time passed: leases, retries and due occurrences.
Outbox onTick(State &state, const Surroundings &around, const std::set<fleet::ZoneId> &unheardZones, fleet::Now now);

/// Plans and gives the orders that are due. Called once for all events that were waiting, since a plan costs the same for
/// one event as for many.
Outbox settle(State &state, const Surroundings &around, fleet::Now now);

}

#endif
