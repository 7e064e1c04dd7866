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

/// Calls the /v1 interface of the first instance that can be reached.
class ApiClient
{
public:
    /// Sends one request and waits for its end.
    using Exchange = std::function<http::Result(const http::Address &, const http::Request &)>;

    ApiClient(std::vector<http::Address> instances, std::string operatorToken, Exchange exchange);

    /// Asks the instances in order until one was reached. A call that may have left is never sent to a second instance.
    /// @throws CommandError where the call was refused, no instance was reached or the outcome is not known.
    boost::json::value call(const std::string &method, const std::string &target, const boost::json::value &body = nullptr) const;

    /// Asks one instance.
    /// @throws CommandError as call().
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
