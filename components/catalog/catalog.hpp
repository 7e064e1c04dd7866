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

/// One version of the configuration that the operators maintain.
struct Catalog
{
    /// Increases with each version, but not always by one. 0 before the first version was read.
    std::uint64_t m_version = 0;
    std::vector<Queue> m_queues;
    std::vector<Service> m_services;
    std::vector<Account> m_accounts;
    Limits m_limits;

    bool operator==(const Catalog &) const = default;
};

/// Returns the queue of `host` with the longest path prefix that matches `path`; nullptr if there is none.
const Queue *findQueue(const Catalog &catalog, std::string_view host, std::string_view path);
const Queue *findQueue(const Catalog &catalog, const fleet::QueueId &id);
const Service *findService(const Catalog &catalog, const fleet::ServiceId &id);
const Account *findAccount(const Catalog &catalog, const fleet::AccountId &id);
/// Returns the account that the key belongs to; nullptr if there is none.
const Account *findAccountByKey(const Catalog &catalog, std::string_view key);

}

#endif
