#include "components/dispatch/advice.hpp"

#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace dispatch
{

namespace
{

/// Maximum number of workers in one question. The service takes time for each worker, and the users' objective leaves time for
/// one question of this size.
constexpr std::size_t workersPerQuestion = 30;
/// Remaining validity that a ticket needs to be used, since the launch is stored and the order sent before the worker checks it.
constexpr fleet::Duration minTicketValidity {400};
/// Delay before the next question after one without an answer.
constexpr fleet::Duration questionRetryDelay {300};

bool isUsable(const WorkerAdvice &advice, const workers::WorkerIncarnation &incarnation, fleet::BootTime now)
{
    return advice.m_isPermitted && advice.m_incarnation == incarnation && now + minTicketValidity < advice.m_validUntil;
}

/// True if asking about the worker may return a usable ticket.
bool isWorthAsking(const StepAdvice &advice, const workers::WorkerIncarnation &incarnation, fleet::BootTime now)
{
    const auto known = advice.find(incarnation.m_worker);
    return known == advice.end() || (known->second.m_isPermitted && !isUsable(known->second, incarnation, now));
}

}

std::map<fleet::WorkerId, std::string> usableTickets(const Context &context, const jobs::StepId &step)
{
    std::map<fleet::WorkerId, std::string> tickets;
    const auto advice = context.m_state.m_advice.find(step);
    if (advice == context.m_state.m_advice.end()) {
        return tickets;
    }
    for (const auto &[id, known] : advice->second) {
        const auto worker = context.m_state.m_workers.find(id);
        const bool isListed = worker != context.m_state.m_workers.end();
        if (isListed && isUsable(known, worker->second.m_registration.m_incarnation, context.m_now.m_boot)) {
            tickets.emplace(id, known.m_ticket);
        }
    }
    return tickets;
}

void askAdvice(Context &context, const Candidate &candidate, const AvailableWorkers &availableWorkers)
{
    State &state = context.m_state;
    if (state.m_isQuestionOpen || context.m_now.m_boot < state.m_nextQuestionAt) {
        return;
    }
    const StepAdvice &advice = state.m_advice[candidate.m_step];
    std::vector<std::pair<std::uint32_t, fleet::WorkerId>> asked;
    for (const AvailableWorker &available : availableWorkers) {
        const workers::WorkerIncarnation &incarnation = available.m_state->m_registration.m_incarnation;
        if (isSuitable(candidate, *available.m_state, context.m_now.m_boot) && isWorthAsking(advice, incarnation, context.m_now.m_boot)) {
            asked.emplace_back(countSlots(candidate, available, freeResourcesFor(candidate, available)), incarnation.m_worker);
        }
    }
    if (asked.empty()) {
        return;
    }
    std::stable_sort(asked.begin(), asked.end(), [](const auto &a, const auto &b) {
        return a.first > b.first;
    });
    asked.resize(std::min(asked.size(), workersPerQuestion));
    workers::AdviceQuestion question {candidate.m_step, {}, state.m_token};
    for (auto &[slots, worker] : asked) {
        question.m_workers.push_back(std::move(worker));
    }
    state.m_isQuestionOpen = true;
    context.m_out.m_log.push_back(logging::Line("dispatch", "advice-asked")
                                      .add("job", toString(candidate.m_step.m_job))
                                      .add("step", candidate.m_step.m_step)
                                      .add("workers", question.m_workers.size()));
    context.m_out.m_questions.push_back(std::move(question));
}

void applyAdvice(Context &context, const workers::AdviceQuestion &question, fleet::BootTime sentAt, const workers::AdviceAnswer &answer)
{
    State &state = context.m_state;
    state.m_isQuestionOpen = false;
    state.m_planIsDue = true;
    context.m_out.m_log.push_back(logging::Line("dispatch", "advice")
                                      .add("job", toString(question.m_step.m_job))
                                      .add("step", question.m_step.m_step)
                                      .add("answered", answer.m_isAnswered)
                                      .add("permitted", answer.m_tickets.size())
                                      .add("took_ms", context.m_now.m_boot - sentAt)
                                      .add("reason", answer.m_reason));
    if (!answer.m_isAnswered) {
        state.m_nextQuestionAt = context.m_now.m_boot + questionRetryDelay;
        return;
    }
    StepAdvice &advice = state.m_advice[question.m_step];
    for (const fleet::WorkerId &id : question.m_workers) {
        const auto ticket = answer.m_tickets.find(id);
        const auto worker = state.m_workers.find(id);
        WorkerAdvice &known = advice[id];
        known.m_isPermitted = ticket != answer.m_tickets.end();
        if (known.m_isPermitted && worker != state.m_workers.end()) {
            known.m_incarnation = worker->second.m_registration.m_incarnation;
            known.m_ticket = ticket->second;
            known.m_validUntil = sentAt + answer.m_validFor;
        }
    }
}

void dropTicket(Context &context, const jobs::StepId &step, const fleet::WorkerId &worker)
{
    const auto advice = context.m_state.m_advice.find(step);
    if (advice != context.m_state.m_advice.end() && advice->second.contains(worker)) {
        advice->second.at(worker).m_validUntil = {};
    }
}

}
