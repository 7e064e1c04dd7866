#ifndef COMPONENTS_DISPATCH_WAITING_HPP
#define COMPONENTS_DISPATCH_WAITING_HPP

#include "components/dispatch/available_worker.hpp"
#include "components/dispatch/wait_report.hpp"
#include "components/fleet/time.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace jobs
{
struct StepId;
}

namespace dispatch
{

struct Candidate;
struct Context;
struct State;
struct WaitingStep;

/// Returns the entry of the step; a new one if it did not wait before.
WaitingStep &findWaitingStep(Context &context, const Candidate &candidate);

/// Returns how long the step has waited since this holder found it ready or last placed a task of it; empty if it does not wait.
std::optional<fleet::Duration> stepWaitedFor(const Context &context, const jobs::StepId &step);

/// Starts the wait of a step anew if a task of it was placed.
void recordPlaced(Context &context, WaitingStep &waiting);

/// Returns why the step was not placed on the workers, with what was placed on them before.
WaitReport explainWait(const Context &context, const Candidate &candidate, const AvailableWorkers &availableWorkers);

/// Forgets the steps that wait no longer, and logs why others do: those whose lines are due for the longest time.
void reportWaitingSteps(Context &context, const std::vector<Candidate> &candidates, const AvailableWorkers &availableWorkers);

/// Number of waiting steps for which the free capacity is enough, by their last reports.
std::size_t countStepsThatWouldFit(const State &state);

}

#endif
