#include "components/node/operator_config_view.hpp"

#include <algorithm>

namespace node
{

namespace
{

/// How long the accounts of a replaced catalog are kept: longer than a submission that it allowed may be in doubt.
constexpr fleet::Duration replacedAccountsTime {300'000};

void apply(OperatorConfigView &view, const catalog::Catalog &change, fleet::BootTime sentAt)
{
    // Pages and late answers may contain an older version; while the process runs, the version never decreases.
    if (change.m_version > view.m_catalog.m_version) {
        std::erase_if(view.m_replacedAccounts, [&](const ReplacedAccounts &replaced) {
            return sentAt - replaced.m_replacedAt >= replacedAccountsTime;
        });
        if (view.hasCatalog()) {
            view.m_replacedAccounts.push_back({view.m_catalog.m_accounts, sentAt});
        }
        view.m_catalog = change;
    }
}

void apply(OperatorConfigView &view, const catalog::ZoneChange &change, fleet::BootTime)
{
    if (change.m_isOutOfService) {
        view.m_zonesOut.insert(change.m_zone);
    } else {
        view.m_zonesOut.erase(change.m_zone);
    }
}

void apply(OperatorConfigView &view, const catalog::WaveChange &change, fleet::BootTime sentAt)
{
    if (!change.m_wave) {
        view.m_waves.erase(change.m_key);
        return;
    }
    const auto [entry, isNew] = view.m_waves.try_emplace(change.m_key, *change.m_wave);
    const fleet::BootTime seenAt = isNew ? sentAt : entry->second.m_firstSeenAt;
    entry->second = *change.m_wave;
    entry->second.m_firstSeenAt = seenAt;
}

/// Erases the waves that a complete read does not contain; the others keep the time when they were first seen.
void eraseUnlistedWaves(OperatorConfigView &view, const catalog::OperatorConfigRead &read)
{
    std::erase_if(view.m_waves, [&](const auto &entry) {
        return std::none_of(read.m_changes.begin(), read.m_changes.end(), [&](const catalog::OperatorConfigChange &change) {
            const auto *wave = std::get_if<catalog::WaveChange>(&change);
            return wave != nullptr && wave->m_key == entry.first;
        });
    });
}

}

bool applyOperatorsRead(OperatorConfigView &view, const catalog::OperatorConfigRead &read, fleet::BootTime sentAt)
{
    view.m_readSentAt.reset();
    view.m_hasFailedRead = read.m_outcome != store::ReadOutcome::Read;
    if (read.m_outcome == store::ReadOutcome::Expired) {
        view.m_position.m_next.reset();
        return false;
    }
    if (read.m_outcome != store::ReadOutcome::Read) {
        return false;
    }
    const std::uint64_t version = view.m_catalog.m_version;
    const std::set<fleet::ZoneId> zonesOut = view.m_zonesOut;
    if (read.m_isFullRead) {
        view.m_zonesOut.clear();
        eraseUnlistedWaves(view, read);
    }
    for (const catalog::OperatorConfigChange &change : read.m_changes) {
        std::visit(
            [&](const auto &body) {
                apply(view, body, sentAt);
            },
            change);
    }
    if (read.m_isFullRead && version > 0 && version != view.m_catalog.m_version) {
        view.m_skippedCatalogsAt = sentAt;
    }
    store::recordKeyedAnswer(view.m_position, read.m_isFullRead, sentAt, read.m_end, read.m_next);
    return version != view.m_catalog.m_version || zonesOut != view.m_zonesOut;
}

std::optional<fleet::BootTime> asOf(const OperatorConfigView &view)
{
    return view.m_position.m_progress.m_asOf;
}

fleet::Duration viewAge(const OperatorConfigView &view, fleet::BootTime now)
{
    const std::optional<fleet::BootTime> time = asOf(view);
    return time ? now - *time : fleet::Duration::max();
}

}
