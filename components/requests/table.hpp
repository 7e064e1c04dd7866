#ifndef COMPONENTS_REQUESTS_TABLE_HPP
#define COMPONENTS_REQUESTS_TABLE_HPP

#include "components/requests/actions.hpp"
#include "components/requests/state.hpp"

#include <vector>

namespace requests
{

/// True where this instance is the sole dispatcher of the id.
bool ownsRange(const State &state, const RequestIdParts &id);

/// The range that an id belongs to; null where this instance does not dispatch it.
IdRange *findRange(State &state, const RequestIdParts &id);

/// Digest of everything that makes two sendings the same request.
std::uint64_t digest(const Request &request);

/// Ends the request with an answer: stores it, tells every waiter and notes when to forget it.
void finish(State &state, Entry &entry, Phase phase, const Answer &answer, std::vector<Action> &actions, fleet::TimePoint now);

/// Ends a request that will not be attempted again, without an answer from a runner: refused where no attempt can have
/// run, otherwise unknown.
void giveUp(State &state, Entry &entry, const std::string &reason, std::vector<Action> &actions, fleet::TimePoint now);

/// Forgets finished requests past their retention, and the oldest of them where the table is over its limits.
void forgetExpired(State &state, fleet::TimePoint now);

/// Answers each waiter whose deadline has passed; the request itself goes on.
void answerOverdueWaiters(Entry &entry, std::vector<Action> &actions, fleet::TimePoint now);

void replyToWaiters(Entry &entry, const Answer &answer, std::vector<Action> &actions);

/// Bytes that the entry takes in memory.
std::size_t storedBytes(const Entry &entry);

/// True where the table takes no further request.
bool isFull(const State &state);

/// How long one attempt at the request may last.
fleet::Duration attemptTimeout(const Settings &settings, const Request &request);

/// Sets the time of the next look at an unfinished request.
void updateTimer(State &state, Entry &entry);

}

#endif
