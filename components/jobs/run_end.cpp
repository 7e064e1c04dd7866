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
    case RunEnd::Lapsed:
        return "lapsed";
    case RunEnd::Broken:
        return "broken";
    case RunEnd::Alone:
        return "alone";
    case RunEnd::NeverBegan:
        return "never-began";
    case RunEnd::LostWithWorker:
        return "lost-with-worker";
    }
    return "";
}

}
