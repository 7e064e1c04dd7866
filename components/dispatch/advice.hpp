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

/// Tickets for the step that can be used now, by worker.
std::map<fleet::WorkerId, std::string> usableTickets(const Context &context, const jobs::StepId &step);

/// Asks which workers may run the candidate, where that is not known of enough of them and no question is open.
void askAdvice(Context &context, const Candidate &candidate, const AvailableWorkers &availableWorkers);

/// Takes in what the advice service said, or that it did not answer.
void applyAdvice(Context &context, const workers::AdviceQuestion &question, fleet::BootTime sentAt, const workers::AdviceAnswer &answer);

/// A worker refused the ticket.
void dropTicket(Context &context, const jobs::StepId &step, const fleet::WorkerId &worker);

}

#endif
