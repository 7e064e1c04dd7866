#include "components/catalog_check/check.hpp"

#include "components/catalog/catalog.hpp"

#include <algorithm>
#include <utility>

namespace catalog_check
{

namespace
{

using Findings = std::vector<Finding>;

std::string quoted(const std::string &text)
{
    return '\'' + text + '\'';
}

void checkQueueMatches(const catalog::Catalog &catalog, std::size_t index, Findings &findings)
{
    const catalog::Queue &queue = catalog.m_queues[index];
    const Place prefix {Section::Queues, index, Field::PathPrefix};
    const bool isPath = queue.m_pathPrefix.empty() || queue.m_pathPrefix.front() == '/';
    if (!isPath || queue.m_pathPrefix.find('?') != std::string::npos) {
        findings.push_back(
            {prefix, "no path begins with " + quoted(queue.m_pathPrefix) + ", so no call reaches the queue", "begin the prefix with '/' and leave out '?'"});
        return;
    }
    // The shortest path that matches. If it reaches another queue, so does each longer one, since that queue matches those too and is preferred.
    const catalog::Queue *reached = catalog::findQueue(catalog, queue.m_host, queue.m_pathPrefix.empty() ? "/" : queue.m_pathPrefix);
    if (reached != nullptr && reached != &queue) {
        findings.push_back({prefix,
                            "the queue is never reached: each call that matches it goes to " + quoted(reached->m_id.value()),
                            "remove one of the two queues, or change its host or prefix"});
    }
}

void checkQueue(const catalog::Catalog &catalog, std::size_t index, Findings &findings)
{
    const catalog::Queue &queue = catalog.m_queues[index];
    const auto add = [&](Field field, std::string sentence, std::string remedy) {
        findings.push_back({{Section::Queues, index, field}, std::move(sentence), std::move(remedy)});
    };
    if (catalog::findQueue(catalog, queue.m_id) != &queue) {
        add(Field::Id,
            "another queue " + quoted(queue.m_id.value()) + " comes first, and its settings apply to the jobs of both",
            "give each queue its own name");
    }
    checkQueueMatches(catalog, index, findings);
    if (catalog::findService(catalog, queue.m_service) == nullptr) {
        add(Field::Service, "there is no service " + quoted(queue.m_service.value()), "add the service, or name one that exists");
    }
    if (queue.m_stretch <= 0 && queue.m_slack.count() == 0) {
        add(Field::Stretch, "each job is due at the time of its acceptance, so that none can meet its objective", "set a stretch or a slack above 0");
    }
    if (queue.m_timeout.count() == 0) {
        add(Field::Timeout, "calls may take 0 ms", "set the timeout in milliseconds");
    }
}

void checkService(const catalog::Catalog &catalog, std::size_t index, Findings &findings)
{
    const catalog::Service &service = catalog.m_services[index];
    if (catalog::findService(catalog, service.m_id) != &service) {
        findings.push_back({{Section::Services, index, Field::Id},
                            "another service " + quoted(service.m_id.value()) + " comes first and applies",
                            "remove one of the two, or give it another name"});
    }
}

void checkKeys(const catalog::Catalog &catalog, std::size_t index, Findings &findings)
{
    const catalog::Account &account = catalog.m_accounts[index];
    const auto add = [&](std::string sentence, std::string remedy) {
        findings.push_back({{Section::Accounts, index, Field::Keys}, std::move(sentence), std::move(remedy)});
    };
    if (account.m_keys.empty()) {
        add("the account has no key, so that no caller can use it", "add a key, or remove the account");
    }
    for (const std::string &key : account.m_keys) {
        const catalog::Account *found = catalog::findAccountByKey(catalog, key);
        if (key.empty()) {
            add("a key is empty, so that callers without a key count as this account", "remove the empty key");
        } else if (found != &account) {
            add("a key also belongs to " + quoted(found->m_id.value()) + ", which comes first and whose account it opens", "give each account its own keys");
        }
    }
}

void checkAccount(const catalog::Catalog &catalog, std::size_t index, Findings &findings)
{
    const catalog::Account &account = catalog.m_accounts[index];
    if (catalog::findAccount(catalog, account.m_id) != &account) {
        findings.push_back({{Section::Accounts, index, Field::Id},
                            "another account " + quoted(account.m_id.value()) + " comes first, and its guarantee applies to the jobs of both",
                            "give each account its own name"});
    }
    checkKeys(catalog, index, findings);
    const bool hasUrgentQueue = std::any_of(catalog.m_queues.begin(), catalog.m_queues.end(), [](const catalog::Queue &queue) {
        return queue.m_priority == 0;
    });
    if (account.m_guaranteedAccelerators > 0 && !hasUrgentQueue) {
        findings.push_back({{Section::Accounts, index, Field::GuaranteedAccelerators},
                            "the guarantee covers jobs of priority 0, and no queue has this priority",
                            "give a queue the priority 0, or remove the guarantee"});
    }
}

void checkMaximum(const catalog::Catalog &catalog, std::size_t index, Findings &findings)
{
    const catalog::Account &account = catalog.m_accounts[index];
    const std::int64_t guaranteed = account.m_guaranteedAccelerators;
    const std::int64_t maximum = account.m_maximum.m_accelerators;
    if (maximum > 0 && guaranteed > maximum) {
        findings.push_back({{Section::Accounts, index, Field::MaximumAccelerators},
                            std::to_string(guaranteed) + " accelerators are guaranteed, and at most " + std::to_string(maximum) + " may be in use",
                            "raise the maximum to at least the guarantee, or lower the guarantee"});
    }
}

void checkWeight(const catalog::Catalog &catalog, std::size_t index, Findings &findings)
{
    const bool isAnyWeightSet = std::any_of(catalog.m_accounts.begin(), catalog.m_accounts.end(), [](const catalog::Account &account) {
        return account.m_weight.has_value();
    });
    if (isAnyWeightSet && !catalog.m_accounts[index].m_weight) {
        findings.push_back({{Section::Accounts, index, Field::Weight},
                            "the account has no weight, and others have one; it counts as weight 1",
                            "set a weight above 0 for each account, or for none"});
    }
}

template<class Items, class Check>
void checkEach(const catalog::Catalog &catalog, const Items &items, Findings &findings, Check check)
{
    for (std::size_t i = 0; i < items.size(); ++i) {
        check(catalog, i, findings);
    }
}

}

std::vector<Finding> check(const catalog::Catalog &catalog)
{
    Findings findings;
    if (catalog.m_version == 0) {
        findings.push_back({{Section::Catalog, 0, Field::Version}, "version 0 never takes effect", "number the versions from 1"});
    }
    checkEach(catalog, catalog.m_queues, findings, checkQueue);
    checkEach(catalog, catalog.m_services, findings, checkService);
    checkEach(catalog, catalog.m_accounts, findings, checkAccount);
    checkEach(catalog, catalog.m_accounts, findings, checkMaximum);
    checkEach(catalog, catalog.m_accounts, findings, checkWeight);
    if (catalog.m_limits.m_maxBodyBytes == 0) {
        findings.push_back({{Section::Limits, 0, Field::MaxBodyBytes}, "bodies may have 0 bytes, so that no job can be submitted", "set the limit in bytes"});
    }
    std::stable_sort(findings.begin(), findings.end(), [](const Finding &left, const Finding &right) {
        return left.m_place < right.m_place;
    });
    return findings;
}

std::vector<Finding> checkAgainst(const catalog::Catalog &inForce, const catalog::Catalog &catalog)
{
    Findings findings = check(catalog);
    if (catalog.m_version != 0 && catalog.m_version <= inForce.m_version) {
        const Finding finding {{Section::Catalog, 0, Field::Version},
                               "version " + std::to_string(catalog.m_version) + " does not replace version " + std::to_string(inForce.m_version),
                               "use a version above " + std::to_string(inForce.m_version)};
        findings.insert(findings.begin(), finding);
    }
    return findings;
}

}
