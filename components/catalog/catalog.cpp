#include "components/catalog/catalog.hpp"

#include <algorithm>

namespace catalog
{

namespace
{

template<class Item, class Id>
const Item *findById(const std::vector<Item> &items, const Id &id)
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const Item &item) {
        return item.m_id == id;
    });
    return found == items.end() ? nullptr : &*found;
}

}

const Queue *findQueue(const Catalog &catalog, std::string_view host, std::string_view path)
{
    const Queue *best = nullptr;
    for (const Queue &queue : catalog.m_queues) {
        const bool isLonger = best == nullptr || queue.m_pathPrefix.size() > best->m_pathPrefix.size();
        if (isLonger && queue.m_host == host && path.starts_with(queue.m_pathPrefix)) {
            best = &queue;
        }
    }
    return best;
}

const Queue *findQueue(const Catalog &catalog, const fleet::QueueId &id)
{
    return findById(catalog.m_queues, id);
}

const Service *findService(const Catalog &catalog, const fleet::ServiceId &id)
{
    return findById(catalog.m_services, id);
}

const Account *findAccount(const Catalog &catalog, const fleet::AccountId &id)
{
    return findById(catalog.m_accounts, id);
}

const Account *findAccountByKey(const Catalog &catalog, std::string_view key)
{
    const auto found = std::find_if(catalog.m_accounts.begin(), catalog.m_accounts.end(), [&](const Account &account) {
        return std::find(account.m_keys.begin(), account.m_keys.end(), key) != account.m_keys.end();
    });
    return found == catalog.m_accounts.end() ? nullptr : &*found;
}

}
