#include "components/api/call.hpp"

namespace api
{

bool isOperatorCall(const Call &call)
{
    return std::holds_alternative<ShowConfiguration>(call) || std::holds_alternative<ChangeConfiguration>(call) || std::holds_alternative<ShowStatus>(call)
        || std::holds_alternative<ShowReport>(call) || std::holds_alternative<ExplainJob>(call);
}

}
