#ifndef COMPONENTS_CLI_API_CLIENT_HPP
#define COMPONENTS_CLI_API_CLIENT_HPP

#include "components/http/address.hpp"
#include "components/http/request.hpp"
#include "components/http/result.hpp"

#include <boost/json/value.hpp>

#include <functional>
#include <string>
#include <vector>

namespace cli
{

/// Client of the /v1 interface that uses the first reachable instance.
class ApiClient
{
public:
    /// Sends one request and waits for its result.
    using Exchange = std::function<http::Result(const http::Address &, const http::Request &)>;

    ApiClient(std::vector<http::Address> instances, std::string operatorToken, Exchange exchange);

    /// Tries the instances in order until one is reached. A call that may have been sent is never sent to a second instance,
    /// unless it is a GET.
    /// @throws CommandError if the call was refused, no instance was reached or the outcome is unknown.
    boost::json::value call(const std::string &method, const std::string &target, const boost::json::value &body = nullptr) const;

    /// Calls one instance.
    /// @throws CommandError if the call was refused or got no answer.
    boost::json::value callInstance(const http::Address &instance, const std::string &method, const std::string &target) const;

    const std::vector<http::Address> &instances() const
    {
        return m_instances;
    }

private:
    http::Request makeRequest(const std::string &method, const std::string &target, const boost::json::value &body) const;

    std::vector<http::Address> m_instances;
    std::string m_operatorToken;
    Exchange m_exchange;
};

}

#endif
