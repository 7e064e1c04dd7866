#ifndef COMPONENTS_REPORT_DELIVERY_TABLES_HPP
#define COMPONENTS_REPORT_DELIVERY_TABLES_HPP

#include "components/report/table.hpp"

#include <vector>

namespace report
{

struct Burn;
struct Delivery;
struct ExceptionSummary;

/// Work delivered by client account.
Table accountTable(const Delivery &delivery);
/// Use and fragmentation of the accelerators.
Table capacityTable(const Delivery &delivery);
/// Exceptions with who, when, why, until when and what they changed.
Table exceptionTable(const std::vector<ExceptionSummary> &exceptions);
/// Service-level burn by objective and window.
Table burnTable(const std::vector<Burn> &burns);

}

#endif
