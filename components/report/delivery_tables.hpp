#ifndef COMPONENTS_REPORT_DELIVERY_TABLES_HPP
#define COMPONENTS_REPORT_DELIVERY_TABLES_HPP

#include "components/report/table.hpp"

#include <vector>

namespace report
{

struct Burn;
struct Delivery;
struct ExceptionSummary;

/// Delivered work by client account.
Table accountTable(const Delivery &delivery);
/// Utilisation and fragmentation of the accelerators.
Table capacityTable(const Delivery &delivery);
/// Exceptions with their operator, start, end, change and reason.
Table exceptionTable(const std::vector<ExceptionSummary> &exceptions);
/// Burn rates by service-level objective and window.
Table burnTable(const std::vector<Burn> &burns);

}

#endif
