#ifndef COMPONENTS_REPORT_OBJECTIVE_HPP
#define COMPONENTS_REPORT_OBJECTIVE_HPP

#include <array>
#include <cstdint>
#include <string>

namespace report
{

/// A service-level objective: a minimum share of good events. The thresholds are in ObjectiveTargets.
enum class Objective : std::uint8_t {
    /// A job completed and spent at most m_completionWait on anything other than running.
    CompletionTime,
    /// A guaranteed shape runs within m_reclaimTime of being requested.
    GuaranteeReclaim,
    /// Urgent work within its account's budget starts within m_urgentStart of its arrival.
    UrgentStart,
    /// A request received a complete answer.
    RequestSuccess,
};

inline constexpr std::array objectives {Objective::CompletionTime, Objective::GuaranteeReclaim, Objective::UrgentStart, Objective::RequestSuccess};

/// Lower-case name for tables and JSON, such as "completion-time".
std::string toString(Objective objective);

}

#endif
