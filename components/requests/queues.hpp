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

/// Appends the request to its account's queue; as urgent work where the account's budget allows it.
void enqueue(State &state, Entry &entry, fleet::TimePoint now);

/// Puts a request that is to be retried at the head of its account's queue.
void enqueueRetry(State &state, Entry &entry);

/// Takes a queued request out of its queue, wherever it stands.
void removeFromQueue(State &state, const Entry &entry);

/// The account whose turn it is: urgent work first, then by weighted share. Null where nothing waits.
AccountQueue *nextQueue(State &state);

/// Takes the head of the queue that nextQueue() returned and charges the account.
fleet::RequestId popHead(State &state, AccountQueue &queue);

/// How long a request that is queued now will wait, by what is queued before it.
fleet::Duration expectedWait(const State &state, const AccountQueue &queue, fleet::Urgency urgency);

/// Replaces the accounts' shares. Queues of removed accounts drain.
void changeAccounts(State &state, const AccountsChanged &event, fleet::TimePoint now);

}

#endif
