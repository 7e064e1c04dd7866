#ifndef COMPONENTS_DISPATCH_REPORTS_HPP
#define COMPONENTS_DISPATCH_REPORTS_HPP

#include "components/fleet/boot_time.hpp"
#include "components/workers/order_result.hpp"
#include "components/workers/poll_order.hpp"
#include "components/workers/poll_result.hpp"
#include "components/workers/registration.hpp"
#include "components/workers/start_order.hpp"
#include "components/workers/stop_order.hpp"

#include <vector>

namespace dispatch
{

struct Context;

/// Apply the platform's worker list and the answers of workers to the holder's state.
void applyWorkerList(Context &context, const std::vector<workers::Registration> &registrations);
void applyPollResult(Context &context, const workers::PollOrder &order, fleet::BootTime sentAt, const workers::PollResult &result);
void applyStartResult(Context &context, const workers::StartOrder &order, const workers::OrderResult &result);
void applyStopResult(Context &context, const workers::StopOrder &order, const workers::OrderResult &result);

}

#endif
