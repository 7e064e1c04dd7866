#ifndef COMPONENTS_API_CALL_HPP
#define COMPONENTS_API_CALL_HPP

#include "components/api/caller_calls.hpp"
#include "components/api/operator_calls.hpp"

#include <variant>

namespace api
{

/// Any call of the HTTP interface.
using Call = std::variant<ShowHealth,
                          ShowMetrics,
                          SubmitJob,
                          ShowJob,
                          CancelJob,
                          ListJobs,
                          IssueRequestIds,
                          SendRequest,
                          ShowRequest,
                          ShowConfiguration,
                          ChangeConfiguration,
                          ShowStatus,
                          ShowReport,
                          ExplainJob>;

/// True if the call requires the operator token.
bool isOperatorCall(const Call &call);

}

#endif
