#ifndef COMPONENTS_API_REPORT_DOCUMENT_HPP
#define COMPONENTS_API_REPORT_DOCUMENT_HPP

#include "components/report/month.hpp"

#include <cstdint>
#include <string>

namespace report
{
struct Delivery;
}

namespace api
{

enum class ReportKind : std::uint8_t {
    /// What the fleet delivered, by account, with the exceptions and the burn rates of the objectives.
    Delivery,
    /// Every exception of the month with its operator, start, end and reason.
    Exceptions,
    /// Burn rates of the service-level objectives over short and long windows.
    Slo,
};

enum class ReportFormat : std::uint8_t {
    Text,
    Json,
    /// One self-contained page.
    Html,
};

/// Selects a report.
struct ReportQuery
{
    ReportKind m_kind = ReportKind::Delivery;
    ReportFormat m_format = ReportFormat::Json;
    /// The default value selects the current month.
    report::Month m_month;

    bool operator==(const ReportQuery &) const = default;
};

/// A rendered report.
struct ReportDocument
{
    ReportFormat m_format = ReportFormat::Json;
    std::string m_text;

    bool operator==(const ReportDocument &) const = default;
};

/// Renders the part of the delivery report that the query selects. As JSON and HTML, every kind renders the whole report.
ReportDocument renderReport(const report::Delivery &delivery, const ReportQuery &query);

}

#endif
