#include "components/report/objective.hpp"

#include "components/report/objective_targets.hpp"

namespace report
{

std::string toString(Objective objective)
{
    switch (objective) {
    case Objective::CompletionTime:
        return "completion-time";
    case Objective::GuaranteeReclaim:
        return "guarantee-reclaim";
    case Objective::UrgentStart:
        return "urgent-start";
    case Objective::RequestSuccess:
        return "request-success";
    }
    return "unknown";
}

double targetShare(const ObjectiveTargets &targets, Objective objective)
{
    switch (objective) {
    case Objective::CompletionTime:
        return targets.m_completionShare;
    case Objective::GuaranteeReclaim:
        return targets.m_reclaimShare;
    case Objective::UrgentStart:
        return targets.m_urgentShare;
    case Objective::RequestSuccess:
        return targets.m_requestShare;
    }
    return 1.0;
}

}
