#ifndef COMPONENTS_STANDIN_RUNNER_STATE_HPP
#define COMPONENTS_STANDIN_RUNNER_STATE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/standin/received_request.hpp"

#include <string>
#include <vector>

namespace standin
{

/// The state of one stand-in runner.
struct RunnerState
{
    fleet::RunnerId m_id;
    int m_slots = 8;
    int m_slotsUsed = 0;
    /// A leaving runner goes on serving; the record shows what it was sent.
    std::vector<ReceivedRequest> m_received;

    bool operator==(const RunnerState &) const = default;
};

/// Takes a request into a free slot. Returns false, and runs nothing, where there is none.
bool startRequest(RunnerState &state, const platform::RunRequest &request, fleet::TimePoint now);

/// A request taken earlier ended.
void finishRequest(RunnerState &state);

/// What a runner answers: a JSON object with the request's id, kind and body, the runner's id, and a digest over
/// "id\nkind\nbody" (SHA-256, hexadecimal), so that the caller can tell that it has the whole answer to its own request.
std::string buildAnswer(const RunnerState &state, const platform::RunRequest &request);

}

#endif
