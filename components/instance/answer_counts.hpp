#ifndef COMPONENTS_INSTANCE_ANSWER_COUNTS_HPP
#define COMPONENTS_INSTANCE_ANSWER_COUNTS_HPP

#include "components/fleet/time.hpp"
#include "components/requests/answer.hpp"

namespace instance
{

struct Core;
struct PendingRequest;

/// Counts one answered sending of a caller for the reports.
void countAnswer(Core &core, const PendingRequest &pending, const requests::Answer &answer);

/// Records the counts where they are due. What is not recorded when a process dies is missing from the reports.
void recordAnswerCounts(Core &core, fleet::TimePoint now);

}

#endif
