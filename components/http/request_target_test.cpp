#include "components/http/address.hpp"
#include "components/http/address_error.hpp"
#include "components/http/request.hpp"
#include "components/http/request_target.hpp"

#include <string>
#include <vector>

#include <criterion/criterion.h>

Test(http_target, encodedPath_segmentsAreDecoded)
{
    const std::vector<std::string> expected {"v1", "jobs", "a b/c"};
    cr_assert(http::pathSegments("/v1/jobs/" + http::percentEncode("a b/c") + "?x=1") == expected);
}

Test(http_target, query_valueIsFoundByName)
{
    cr_assert(http::queryValue("/x?from=17&limit=5", "limit") == "5");
    cr_assert_not(http::queryValue("/x?from=17", "limit").has_value());
    cr_assert_not(http::queryValue("/x", "limit").has_value());
}

Test(http_target, headerOfOtherCase_isFound)
{
    const http::Request request {"GET", "/", {{"Authorization", "Bearer x"}}, ""};
    cr_assert(http::headerValue(request, "authorization") == "Bearer x");
}

Test(http_address, malformedTexts_areRejected)
{
    cr_assert_eq(http::parseAddress("127.0.0.1:80").m_port, 80);
    for (const char *text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "host:80", "127.0.0.1:80x", ":80"}) {
        bool isRejected = false;
        try {
            http::parseAddress(text);
        } catch (const http::AddressError &) {
            isRejected = true;
        }
        cr_assert(isRejected, "%s", text);
    }
}
