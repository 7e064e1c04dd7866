#include "components/platform/list_client.hpp"

#include "components/http/client.hpp"
#include "components/http/request.hpp"
#include "components/platform/fetched.hpp"
#include "components/platform/list_codec.hpp"

#include <utility>

namespace platform
{

ListClient::ListClient(http::Client &client, http::Address address)
    : m_client(client)
    , m_address(std::move(address))
{
}

void ListClient::fetch(fleet::Duration timeout, Callback callback) const
{
    m_client.send(m_address, {"GET", "/v1/list", {}, {}}, timeout, [callback = std::move(callback)](const http::Result &result) {
        auto fetched = fetchedFrom(result, decodeList);
        callback({std::move(fetched.m_value), std::move(fetched.m_reason)});
    });
}

}
