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
    /// What the fleet delivered, by account, with the exceptions and the burn of the objectives.
    Delivery,
    /// Every exception of the month with who, when, why and until when.
    Exceptions,
    /// Service-level burn over short and long windows.
    Slo,
};

enum class ReportFormat : std::uint8_t {
    Text,
    Json,
    /// One self-contained page.
    Html,
};

/// Which report is asked for.
struct ReportQuery
{
    ReportKind m_kind = ReportKind::Delivery;
    ReportFormat m_format = ReportFormat::Json;
    /// The present month where it is the default value.
    report::Month m_month;

    bool operator==(const ReportQuery &) const = default;
};

/// A report as it is sent.
struct ReportDocument
{
    ReportFormat m_format = ReportFormat::Json;
    std::string m_text;

    bool operator==(const ReportDocument &) const = default;
};

/// Renders the part of the delivery that the query asks for. Every kind has the same JSON and HTML form: the whole.
ReportDocument renderReport(const report::Delivery &delivery, const ReportQuery &query);

}

#endif
