#include "components/http/error_response.hpp"

#include <string>

namespace http
{

Response errorResponse(int status, std::string_view kind, std::string_view message)
{
    Response response;
    response.m_status = status;
    response.m_body = R"({"error": ")" + std::string(kind) + R"(", "message": ")" + std::string(message) + R"("})";
    return response;
}

}
