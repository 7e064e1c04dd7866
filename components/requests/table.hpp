#ifndef COMPONENTS_REQUESTS_TABLE_HPP
#define COMPONENTS_REQUESTS_TABLE_HPP

#include "components/requests/actions.hpp"
#include "components/requests/state.hpp"

#include <vector>

namespace requests
{

/// True if this instance is the only one that may dispatch the id.
bool ownsRange(const State &state, const RequestIdParts &id);

/// Returns the range that the id belongs to; null if this instance does not dispatch it.
IdRange *findRange(State &state, const RequestIdParts &id);

/// Hashes the fields in which two submissions under one id must agree to count as the same request.
std::uint64_t digest(const Request &request);

/// Finishes the request: stores the answer, sends it to every waiter and schedules the removal from the table.
void finish(State &state, Entry &entry, Phase phase, const Answer &answer, std::vector<Action> &actions, fleet::TimePoint now);

/// Finishes a request that will not be attempted again and has no answer from a runner: refused if no attempt can have
/// run, otherwise with an unknown outcome.
void giveUp(State &state, Entry &entry, const std::string &reason, std::vector<Action> &actions, fleet::TimePoint now);

/// Removes finished requests past their retention, and the oldest finished ones while the table is over its limits.
void forgetExpired(State &state, fleet::TimePoint now);

/// Answers each waiter whose deadline has passed; the request itself continues.
void answerOverdueWaiters(Entry &entry, std::vector<Action> &actions, fleet::TimePoint now);

void replyToWaiters(Entry &entry, const Answer &answer, std::vector<Action> &actions);

/// Estimated memory of the entry, in bytes.
std::size_t storedBytes(const Entry &entry);

/// True if the table accepts no further request.
bool isFull(const State &state);

/// Maximum duration of one attempt at the request.
fleet::Duration attemptTimeout(const Settings &settings, const Request &request);

/// Sets the timer of an unfinished request to its next due time, or removes the timer of a finished one.
void updateTimer(State &state, Entry &entry);

}

#endif
