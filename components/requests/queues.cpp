#include "components/requests/queues.hpp"

#include "components/requests/runner_choice.hpp"
#include "components/requests/state.hpp"

#include <algorithm>

namespace requests
{

namespace
{

constexpr double hourInMs = 3'600'000.0;

/// Maximum number of urgent starts that an account can accumulate, as a fraction of its hourly budget.
constexpr double urgentBurstPart = 0.25;

bool takeUrgentToken(AccountQueue &queue, fleet::TimePoint now)
{
    const double earned = queue.m_urgentPerHour * static_cast<double>(std::max<std::int64_t>(0, (now - queue.m_tokensAt).count())) / hourInMs;
    const double burst = std::max(1.0, queue.m_urgentPerHour * urgentBurstPart);
    queue.m_urgentTokens = std::min(burst, queue.m_urgentTokens + earned);
    queue.m_tokensAt = std::max(queue.m_tokensAt, now);
    if (queue.m_urgentPerHour <= 0.0 || queue.m_urgentTokens < 1.0) {
        return false;
    }
    queue.m_urgentTokens -= 1.0;
    return true;
}

/// Raises the virtual time of an empty queue to the lowest one among the queues in use. Otherwise an account that was
/// idle would be served alone until it had made up for the share that it did not use.
void raiseVirtualTime(State &state, AccountQueue &queue)
{
    if (queue.size() > 0) {
        return;
    }
    double lowest = -1.0;
    for (const auto &[id, other] : state.m_queues) {
        if (other.size() > 0 && (lowest < 0.0 || other.m_virtualTime < lowest)) {
            lowest = other.m_virtualTime;
        }
    }
    queue.m_virtualTime = std::max(queue.m_virtualTime, lowest);
}

double weightOfWaiting(const State &state)
{
    double sum = 0.0;
    for (const auto &[id, queue] : state.m_queues) {
        if (queue.size() > 0) {
            sum += queue.m_weight;
        }
    }
    return sum;
}

std::size_t urgentQueued(const State &state)
{
    std::size_t count = 0;
    for (const auto &[id, queue] : state.m_queues) {
        count += queue.m_urgent.size();
    }
    return count;
}

}

void enqueue(State &state, Entry &entry, fleet::TimePoint now)
{
    AccountQueue &queue = state.m_queues[entry.m_request.m_account];
    raiseVirtualTime(state, queue);
    const bool urgent = entry.m_request.m_urgency == fleet::Urgency::Urgent && takeUrgentToken(queue, now);
    (urgent ? queue.m_urgent : queue.m_normal).push_back(entry.m_request.m_id);
    ++state.m_queued;
}

void enqueueRetry(State &state, Entry &entry)
{
    AccountQueue &queue = state.m_queues[entry.m_request.m_account];
    raiseVirtualTime(state, queue);
    entry.m_phase = Phase::Queued;
    entry.m_retrying = true;
    queue.m_normal.push_front(entry.m_request.m_id);
    ++state.m_queued;
}

void removeFromQueue(State &state, const Entry &entry)
{
    const auto found = state.m_queues.find(entry.m_request.m_account);
    if (found == state.m_queues.end()) {
        return;
    }
    for (std::deque<fleet::RequestId> *waiting : {&found->second.m_urgent, &found->second.m_normal}) {
        const auto position = std::find(waiting->begin(), waiting->end(), entry.m_request.m_id);
        if (position != waiting->end()) {
            waiting->erase(position);
            --state.m_queued;
            return;
        }
    }
}

AccountQueue *nextQueue(State &state)
{
    AccountQueue *next = nullptr;
    for (auto &[id, queue] : state.m_queues) {
        if (queue.size() == 0) {
            continue;
        }
        const bool moreUrgent = next && !queue.m_urgent.empty() && next->m_urgent.empty();
        const bool asUrgent = next && queue.m_urgent.empty() == next->m_urgent.empty();
        if (!next || moreUrgent || (asUrgent && queue.m_virtualTime < next->m_virtualTime)) {
            next = &queue;
        }
    }
    return next;
}

fleet::RequestId popHead(State &state, AccountQueue &queue)
{
    std::deque<fleet::RequestId> &waiting = queue.m_urgent.empty() ? queue.m_normal : queue.m_urgent;
    fleet::RequestId head = std::move(waiting.front());
    waiting.pop_front();
    --state.m_queued;
    queue.m_virtualTime += 1.0 / queue.m_weight;
    return head;
}

fleet::Duration expectedWait(const State &state, const AccountQueue &queue, fleet::Urgency urgency)
{
    if (state.m_queued == 0) {
        return fleet::Duration {0};
    }
    const bool urgent = urgency == fleet::Urgency::Urgent && queue.m_urgentTokens >= 1.0;
    const double ownShare = queue.m_weight / std::max(queue.m_weight, weightOfWaiting(state));
    const double byShare = static_cast<double>(queue.size()) / ownShare;
    const double ahead = urgent ? static_cast<double>(urgentQueued(state)) : std::min(static_cast<double>(state.m_queued), byShare);
    const double capacity = std::max(1, totalCapacity(state));
    const double wait = ahead * static_cast<double>(state.m_meanServiceTime.count()) / capacity;
    return fleet::Duration(static_cast<std::int64_t>(wait));
}

void changeAccounts(State &state, const AccountsChanged &event, fleet::TimePoint now)
{
    std::map<fleet::AccountId, AccountQueue> queues;
    for (const AccountShare &share : event.m_accounts) {
        AccountQueue queue;
        const auto old = state.m_queues.find(share.m_account);
        if (old != state.m_queues.end()) {
            queue = old->second;
        } else {
            queue.m_account = share.m_account;
            queue.m_urgentTokens = std::max(1.0, share.m_urgentPerHour * urgentBurstPart);
            queue.m_tokensAt = now;
            queue.m_retryTokens = state.m_settings.m_retryBurst;
        }
        queue.m_weight = std::max(share.m_weight, 1e-3);
        queue.m_urgentPerHour = share.m_urgentPerHour;
        queues.emplace(share.m_account, std::move(queue));
    }
    for (auto &[id, queue] : state.m_queues) {
        if (queue.size() > 0) {
            queues.emplace(id, std::move(queue));
        }
    }
    state.m_queues = std::move(queues);
}

}
