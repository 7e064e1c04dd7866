#include "components/jobs/run_end.hpp"

namespace jobs
{

const char *nameOf(RunEnd value)
{
    switch (value) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lapsed";
    case RunEnd::GangBroken:
        return "broken";
    case RunEnd::GangIncomplete:
        return "alone";
    case RunEnd::NeverBegan:
        return "never-began";
    case RunEnd::LostWithWorker:
        return "lost-with-worker";
    }
    return "";
}

}
