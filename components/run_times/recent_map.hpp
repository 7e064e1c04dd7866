#ifndef COMPONENTS_RUN_TIMES_RECENT_MAP_HPP
#define COMPONENTS_RUN_TIMES_RECENT_MAP_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace run_times
{

/// A map with a maximum number of entries. Adding one beyond it removes the least recently used.
template<class Key, class Value>
class RecentMap
{
public:
    explicit RecentMap(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Returns the value of the key, which is added if it is absent, and counts this as a use.
    Value &use(const Key &key)
    {
        const auto [entry, isNew] = m_entries.try_emplace(key);
        if (!isNew) {
            m_keysByUse.erase(entry->second.m_lastUse);
        }
        entry->second.m_lastUse = ++m_uses;
        m_keysByUse.emplace(m_uses, key);
        if (m_entries.size() > m_capacity) {
            m_entries.erase(m_keysByUse.begin()->second);
            m_keysByUse.erase(m_keysByUse.begin());
        }
        return entry->second.m_value;
    }

    /// Returns the value of the key, or null. Does not count as a use.
    const Value *find(const Key &key) const
    {
        const auto entry = m_entries.find(key);
        return entry == m_entries.end() ? nullptr : &entry->second.m_value;
    }

    /// Returns the key and the value after the given key in the order of the keys, or the first ones after the last key. The map must not
    /// be empty.
    std::pair<const Key &, const Value &> next(const Key &key) const
    {
        auto entry = m_entries.upper_bound(key);
        if (entry == m_entries.end()) {
            entry = m_entries.begin();
        }
        return {entry->first, entry->second.m_value};
    }

    template<class Visit>
    void forEach(Visit visit)
    {
        for (auto &[key, entry] : m_entries) {
            visit(entry.m_value);
        }
    }

    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Entry
    {
        Value m_value;
        std::uint64_t m_lastUse = 0;
    };

    std::size_t m_capacity;
    std::uint64_t m_uses = 0;
    std::map<Key, Entry> m_entries;
    std::map<std::uint64_t, Key> m_keysByUse;
};

}

#endif
