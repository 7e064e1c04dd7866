#ifndef COMPONENTS_INSTANCE_ANSWER_COUNTS_HPP
#define COMPONENTS_INSTANCE_ANSWER_COUNTS_HPP

#include "components/fleet/time.hpp"
#include "components/requests/answer.hpp"

namespace instance
{

struct Core;
struct PendingRequest;

/// Counts one answered request of a caller for the delivery reports.
void countAnswer(Core &core, const PendingRequest &pending, const requests::Answer &answer);

/// Appends the counts to the log if they are due. Counts that are not yet recorded when the process dies are missing from the
/// reports.
void recordAnswerCounts(Core &core, fleet::TimePoint now);

}

#endif
