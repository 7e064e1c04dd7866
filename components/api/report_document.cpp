#include "components/api/report_document.hpp"

#include "components/report/delivery.hpp"
#include "components/report/delivery_page.hpp"
#include "components/report/delivery_tables.hpp"
#include "components/report/table.hpp"

namespace api
{

namespace
{

std::string renderPart(const report::Delivery &delivery, ReportKind kind)
{
    switch (kind) {
    case ReportKind::Delivery:
        return report::renderText(delivery);
    case ReportKind::Exceptions:
        return report::renderText(report::exceptionTable(delivery.m_exceptions));
    case ReportKind::Slo:
        return report::renderText(report::burnTable(delivery.m_burns));
    }
    return {};
}

}

ReportDocument renderReport(const report::Delivery &delivery, const ReportQuery &query)
{
    switch (query.m_format) {
    case ReportFormat::Text:
        return {query.m_format, renderPart(delivery, query.m_kind)};
    case ReportFormat::Json:
        return {query.m_format, report::renderJson(delivery)};
    case ReportFormat::Html:
        return {query.m_format, report::renderPage(delivery)};
    }
    return {};
}

}
