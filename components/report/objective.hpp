#ifndef COMPONENTS_REPORT_OBJECTIVE_HPP
#define COMPONENTS_REPORT_OBJECTIVE_HPP

#include <array>
#include <cstdint>
#include <string>

namespace report
{

/// A service-level objective: what share of its events has to be good.
enum class Objective : std::uint8_t {
    /// A job is done and spent at most `CompletionWait` on anything but running.
    CompletionTime,
    /// A guaranteed shape runs at most `ReclaimTime` after it was asked for.
    GuaranteeReclaim,
    /// Urgent work within its account's budget starts at most `UrgentStart` after it arrived.
    UrgentStart,
    /// A request was answered whole.
    RequestSuccess,
};

inline constexpr std::array objectives {Objective::CompletionTime, Objective::GuaranteeReclaim, Objective::UrgentStart, Objective::RequestSuccess};

/// Lower-case name for tables and JSON, such as "completion-time".
std::string toString(Objective objective);

}

#endif
