#ifndef COMPONENTS_REPORT_EXCEPTION_SUMMARY_HPP
#define COMPONENTS_REPORT_EXCEPTION_SUMMARY_HPP

#include "components/fleet/time.hpp"

#include <optional>
#include <string>

namespace report
{

/// An exception as shown in reports.
struct ExceptionSummary
{
    std::string m_name;
    /// Operator who set the exception.
    std::string m_operator;
    fleet::TimePoint m_since;
    std::optional<fleet::TimePoint> m_until;
    std::string m_reason;
    /// Readable description of what the exception changed.
    std::string m_changeDescription;
    bool m_inForce = true;

    bool operator==(const ExceptionSummary &) const = default;
};

}

#endif
