#ifndef COMPONENTS_STANDIN_RUNNER_STATE_HPP
#define COMPONENTS_STANDIN_RUNNER_STATE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/standin/received_request.hpp"

#include <string>
#include <vector>

namespace standin
{

/// State of one stand-in runner.
struct RunnerState
{
    fleet::RunnerId m_id;
    int m_slots = 8;
    int m_slotsUsed = 0;
    /// Also recorded while the runner is leaving, because a leaving runner continues to serve.
    std::vector<ReceivedRequest> m_received;

    bool operator==(const RunnerState &) const = default;
};

/// Records the request and allocates a slot. Returns false if no slot is free.
bool startRequest(RunnerState &state, const platform::RunRequest &request, fleet::TimePoint now);

/// Frees the slot of a request that startRequest() accepted.
void finishRequest(RunnerState &state);

/// Builds the runner's answer: a JSON object with the request's id, kind and body, the runner's id, and a digest over
/// "id\nkind\nbody" (SHA-256, hexadecimal), by which the caller checks that the answer is complete and belongs to its request.
std::string buildAnswer(const RunnerState &state, const platform::RunRequest &request);

}

#endif
