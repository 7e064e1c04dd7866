#ifndef COMPONENTS_REPORT_DELIVERY_PAGE_HPP
#define COMPONENTS_REPORT_DELIVERY_PAGE_HPP

#include <string>

namespace report
{

struct Delivery;

/// Renders the report as one self-contained HTML page with tables and plots, without external resources.
std::string renderPage(const Delivery &delivery);

/// Renders the report as plain text.
std::string renderText(const Delivery &delivery);

/// Renders the report as JSON; days without data are null.
std::string renderJson(const Delivery &delivery);

}

#endif
