#ifndef COMPONENTS_CATALOG_CATALOG_HPP
#define COMPONENTS_CATALOG_CATALOG_HPP

#include "components/catalog/account.hpp"
#include "components/catalog/limits.hpp"
#include "components/catalog/queue.hpp"
#include "components/catalog/service.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace catalog
{

/// One version of what the operators have set.
struct Catalog
{
    /// Rises from one version to the next, in uneven steps. 0 before the first one was read.
    std::uint64_t m_version = 0;
    std::vector<Queue> m_queues;
    std::vector<Service> m_services;
    std::vector<Account> m_accounts;
    Limits m_limits;

    bool operator==(const Catalog &) const = default;
};

/// The queue with the longest prefix that `path` begins with under `host`; nullptr where there is none.
const Queue *findQueue(const Catalog &catalog, std::string_view host, std::string_view path);
const Queue *findQueue(const Catalog &catalog, const fleet::QueueId &id);
const Service *findService(const Catalog &catalog, const fleet::ServiceId &id);
const Account *findAccount(const Catalog &catalog, const fleet::AccountId &id);
/// The account that holds the key; nullptr where none does.
const Account *findAccountByKey(const Catalog &catalog, std::string_view key);

}

#endif
