#ifndef COMPONENTS_WORKERS_ORDER_RESULT_HPP
#define COMPONENTS_WORKERS_ORDER_RESULT_HPP

#include "components/workers/order_outcome.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace workers
{

struct OrderResult
{
    OrderOutcome m_outcome = OrderOutcome::Unknown;
    /// The worker's own clock when it answered.
    std::optional<std::int64_t> m_clockMs;
    /// For logs.
    std::string m_reason;

    bool operator==(const OrderResult &) const = default;
};

}

#endif
