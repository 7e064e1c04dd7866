#ifndef COMPONENTS_DISPATCH_RUN_END_PROOF_HPP
#define COMPONENTS_DISPATCH_RUN_END_PROOF_HPP

#include <array>
#include <cstdint>

namespace dispatch
{

/// What showed the holder that a run is over, or can never begin.
enum class RunEndProof : std::uint8_t {
    /// The worker reported the end.
    ReportedByWorker,
    /// The worker had started the run and its list of runs no longer has it.
    NotListedByWorker,
    /// The worker has restarted under the same id, and its list of runs does not have it.
    RestartedWithoutIt,
    /// Another process answered an order at the worker's address.
    OtherInstanceAnswered,
    /// The worker is not listed, and a newer one of its machine is listed and has answered.
    NewerWorkerOnMachine,
    /// Every lease that the worker may hold has expired.
    LeaseOver,
    /// The worker confirmed a stop, and its list of runs does not have it.
    StopConfirmed,
    /// The worker refused the start since the run was over there, and its list of runs does not have it.
    RefusedAsOver,
    /// The worker refused the start.
    RefusedForRoom,
    RefusedForTicket,
    Refused,
    /// No byte of the start order left this process.
    NotSent,
    /// No start order was made.
    NotOrdered,
    /// No start order was made, since the worker does not answer.
    SilentBeforeStart,
};

inline constexpr std::array allRunEndProofs {
    RunEndProof::ReportedByWorker,
    RunEndProof::NotListedByWorker,
    RunEndProof::RestartedWithoutIt,
    RunEndProof::OtherInstanceAnswered,
    RunEndProof::NewerWorkerOnMachine,
    RunEndProof::LeaseOver,
    RunEndProof::StopConfirmed,
    RunEndProof::RefusedAsOver,
    RunEndProof::RefusedForRoom,
    RunEndProof::RefusedForTicket,
    RunEndProof::Refused,
    RunEndProof::NotSent,
    RunEndProof::NotOrdered,
    RunEndProof::SilentBeforeStart,
};

/// For logs and metrics, in lower case.
const char *nameOf(RunEndProof value);

}

#endif
