#ifndef COMPONENTS_DISPATCH_UNANSWERED_STARTS_HPP
#define COMPONENTS_DISPATCH_UNANSWERED_STARTS_HPP

namespace workers
{
struct OrderResult;
struct StartOrder;
struct StopOrder;
}

namespace dispatch
{

struct Context;

void recordUnansweredStart(Context &context, const workers::StartOrder &order);
void recordStopAnswer(Context &context, const workers::StopOrder &order, const workers::OrderResult &result);

/// Sends stops to workers that have restarted since a start order without an answer whose run is no longer open there, so that they
/// refuse the order when it arrives.
void sendStopsOfUnansweredStarts(Context &context);

}

#endif
