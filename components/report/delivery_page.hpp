#ifndef COMPONENTS_REPORT_DELIVERY_PAGE_HPP
#define COMPONENTS_REPORT_DELIVERY_PAGE_HPP

#include <string>

namespace report
{

struct Delivery;

/// One self-contained HTML page with tables and plots; it loads nothing from anywhere.
std::string renderPage(const Delivery &delivery);

/// The same report as plain text.
std::string renderText(const Delivery &delivery);

/// The same report as JSON; gaps are null.
std::string renderJson(const Delivery &delivery);

}

#endif
