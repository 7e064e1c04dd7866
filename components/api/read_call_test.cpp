#include "components/api/authorize.hpp"
#include "components/api/error.hpp"
#include "components/api/read_call.hpp"
#include "components/http/request.hpp"

#include <criterion/criterion.h>

namespace
{

const std::string job = R"({"account":"ads","kind":"render","declaredRunTimeMs":60000,
    "shape":{"tasks":8,"perTask":{"milliCores":4000,"memoryMb":8000,"accelerators":1},"adjacency":"same-rack"}})";

const std::string exceptionHead = R"({"operator":"meera","madeFrom":3,"from":1000,"until":2000,"account":"ads","weight":2.0)";

/// Returns the kind of the error that reading the request throws. Fails the test if there is none.
api::ErrorKind refusalOf(const http::Request &request)
{
    try {
        api::readCall(request);
    } catch (const api::Error &error) {
        return error.kind();
    }
    cr_assert_fail("the call was accepted");
}

}

Test(readCall, jobWithEveryMember_isReadAsDeclared)
{
    const api::Call call = api::readCall({"POST", "/v1/jobs", {}, job});
    const fleet::JobSpec &spec = std::get<api::SubmitJob>(call).m_spec;
    cr_assert(spec.m_account == fleet::AccountId("ads"));
    cr_assert(spec.m_shape == (fleet::Shape {8, {4000, 8000, 1}, fleet::Adjacency::SameRack}));
    cr_assert(spec.m_declaredRunTime == std::chrono::minutes(1));
}

Test(readCall, exceptionWithoutReason_isRefusedNamingTheRemedy)
{
    try {
        api::readCall({"PUT", "/v1/exceptions/festival", {}, exceptionHead + "}"});
        cr_assert_fail("the exception was accepted");
    } catch (const api::Error &error) {
        cr_assert(error.kind() == api::ErrorKind::Invalid);
        cr_assert(std::string(error.what()).find("say in 'reason' why it is needed") != std::string::npos);
    }
}

Test(readCall, exceptionWithReason_isReadWithOperatorAndVersion)
{
    const api::Call call = api::readCall({"PUT", "/v1/exceptions/festival", {}, exceptionHead + R"(,"reason":"festival week"})"});
    const configuration::Change &change = std::get<api::ChangeConfiguration>(call).m_change;
    cr_assert_eq(change.m_baseVersion.m_value, 3);
    cr_assert(change.m_operator == fleet::OperatorId("meera"));
    cr_assert(std::get<configuration::PutException>(change.m_operation).m_exception.m_reason == "festival week");
    cr_assert(api::isOperatorCall(call));
}

Test(readCall, unknownMember_isRefused)
{
    cr_assert(refusalOf({"POST", "/v1/request-ids", {}, R"({"count":1,"cuont":2})"}) == api::ErrorKind::BadRequest);
}

Test(readCall, bodyThatIsNotJson_isRefused)
{
    cr_assert(refusalOf({"POST", "/v1/jobs", {}, "{"}) == api::ErrorKind::BadRequest);
}

Test(readCall, numberOutOfRange_isRefused)
{
    cr_assert(refusalOf({"POST", "/v1/request-ids", {}, R"({"count":1001})"}) == api::ErrorKind::BadRequest);
    cr_assert(refusalOf({"POST", "/v1/request-ids", {}, R"({"count":1.5})"}) == api::ErrorKind::BadRequest);
}

Test(readCall, unknownPathOrMethod_isRefused)
{
    cr_assert(refusalOf({"GET", "/v2/jobs", {}, ""}) == api::ErrorKind::NotFound);
    cr_assert(refusalOf({"GET", "/", {}, ""}) == api::ErrorKind::NotFound);
    cr_assert(refusalOf({"PATCH", "/v1/jobs", {}, ""}) == api::ErrorKind::MethodNotAllowed);
    cr_assert(refusalOf({"POST", "/v1/status", {}, ""}) == api::ErrorKind::MethodNotAllowed);
}

Test(authorize, headerWithTheToken_isAuthorized)
{
    const std::string token = "0123456789abcdef";
    cr_assert(api::isAuthorized({"GET", "/", {{"authorization", "Bearer " + token}}, ""}, token));
    cr_assert_not(api::isAuthorized({"GET", "/", {{"Authorization", "Bearer 0123456789abcdeg"}}, ""}, token));
    cr_assert_not(api::isAuthorized({"GET", "/", {{"Authorization", token}}, ""}, token));
    cr_assert_not(api::isAuthorized({"GET", "/", {}, ""}, token));
    cr_assert_not(api::isAuthorized({"GET", "/", {{"Authorization", "Bearer "}}, ""}, ""));
}
