#ifndef COMPONENTS_DISPATCH_ADVICE_HPP
#define COMPONENTS_DISPATCH_ADVICE_HPP

#include "components/dispatch/available_workers.hpp"
#include "components/fleet/boot_time.hpp"
#include "components/workers/advice_answer.hpp"
#include "components/workers/advice_question.hpp"

#include <map>
#include <string>

namespace dispatch
{

struct Candidate;
struct Context;

/// Returns the tickets that are valid for starting tasks of the step now, by worker.
std::map<fleet::WorkerId, std::string> usableTickets(const Context &context, const jobs::StepId &step);

/// Asks the advice service which suitable workers may run the candidate. Does nothing while a question is open or a retry
/// delay runs, or if no worker is left to ask about.
void askAdvice(Context &context, const Candidate &candidate, const AvailableWorkers &availableWorkers);

/// Stores the answer of the advice service, or schedules a retry if it did not answer.
void applyAdvice(Context &context, const workers::AdviceQuestion &question, fleet::BootTime sentAt, const workers::AdviceAnswer &answer);

/// Invalidates the ticket of the step for a worker that refused it.
void dropTicket(Context &context, const jobs::StepId &step, const fleet::WorkerId &worker);

}

#endif
