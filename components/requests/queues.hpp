#ifndef COMPONENTS_REQUESTS_QUEUES_HPP
#define COMPONENTS_REQUESTS_QUEUES_HPP

#include "components/fleet/time.hpp"
#include "components/fleet/urgency.hpp"
#include "components/requests/events.hpp"

namespace requests
{

struct AccountQueue;
struct Entry;
struct State;

/// Appends the request to its account's queue; to the urgent one if the request is urgent and the account's budget
/// allows it.
void enqueue(State &state, Entry &entry, fleet::TimePoint now);

/// Puts a request at the head of its account's normal queue to be retried.
void enqueueRetry(State &state, Entry &entry);

/// Removes a queued request from its account's queue, whatever its position.
void removeFromQueue(State &state, const Entry &entry);

/// Returns the queue to serve next: accounts with urgent requests first, then by weighted share. Null if all are empty.
AccountQueue *nextQueue(State &state);

/// Removes the head of the queue that nextQueue() returned and charges the account for it.
fleet::RequestId popHead(State &state, AccountQueue &queue);

/// Estimates how long a request that is queued now will wait, from what is queued before it.
fleet::Duration expectedWait(const State &state, const AccountQueue &queue, fleet::Urgency urgency);

/// Replaces the accounts' shares. Queues of removed accounts are kept until they are empty.
void changeAccounts(State &state, const AccountsChanged &event, fleet::TimePoint now);

}

#endif
