#include "components/dispatch/run_end_proof.hpp"

namespace dispatch
{

const char *nameOf(RunEndProof value)
{
    switch (value) {
    case RunEndProof::ReportedByWorker:
        return "reported-by-worker";
    case RunEndProof::NotListedByWorker:
        return "not-listed-by-worker";
    case RunEndProof::RestartedWithoutIt:
        return "restarted-without-it";
    case RunEndProof::OtherInstanceAnswered:
        return "other-instance-answered";
    case RunEndProof::NewerWorkerOnMachine:
        return "newer-worker-on-machine";
    case RunEndProof::LeaseOver:
        return "lease-over";
    case RunEndProof::StopConfirmed:
        return "stop-confirmed";
    case RunEndProof::RefusedAsOver:
        return "refused-as-over";
    case RunEndProof::RefusedForRoom:
        return "refused-for-room";
    case RunEndProof::RefusedForTicket:
        return "refused-for-ticket";
    case RunEndProof::Refused:
        return "refused";
    case RunEndProof::NotSent:
        return "not-sent";
    case RunEndProof::NotOrdered:
        return "not-ordered";
    case RunEndProof::SilentBeforeStart:
        return "silent-before-start";
    }
    return "";
}

}
