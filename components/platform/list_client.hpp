#ifndef COMPONENTS_PLATFORM_LIST_CLIENT_HPP
#define COMPONENTS_PLATFORM_LIST_CLIENT_HPP

#include "components/fleet/time.hpp"
#include "components/http/address.hpp"
#include "components/platform/list_result.hpp"

#include <functional>
#include <memory>

namespace http
{
class Client;
}

namespace platform
{

/// Reads the platform's list. Callbacks run on the HTTP client's thread.
///
/// Keeps the last list with its entity tag, so that an unchanged list is not transferred again.
class ListClient
{
public:
    using Callback = std::function<void(ListResult)>;

    /// `client` must outlive this object.
    ListClient(http::Client &client, http::Address address);

    void fetch(fleet::Duration timeout, Callback callback) const;

private:
    struct Cache;

    http::Client &m_client;
    http::Address m_address;
    std::shared_ptr<Cache> m_cache;
};

}

#endif
