#ifndef COMPONENTS_INSTANCES_MESSAGE_QUEUE_HPP
#define COMPONENTS_INSTANCES_MESSAGE_QUEUE_HPP

#include "components/fleet/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace instances
{

/// Deterministic random numbers for the tests, from one seed.
class RandomGenerator
{
public:
    explicit RandomGenerator(std::uint64_t seed)
        : m_state(seed)
    {
    }

    /// Returns a number from 0 to below `bound`.
    int below(int bound)
    {
        m_state += 0x9E3779B97F4A7C15U;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9U;
        z = (z ^ (z >> 27U)) * 0x94D049BB133111EBU;
        return static_cast<int>((z ^ (z >> 31U)) % static_cast<std::uint64_t>(bound));
    }

    bool percentChance(int percent)
    {
        return below(100) < percent;
    }

private:
    std::uint64_t m_state;
};

/// Faults that may affect a message.
struct Faults
{
    int m_dropPercent = 0;
    int m_duplicatePercent = 0;
    int m_slowPercent = 0;
    fleet::Duration m_slowMax {0};
};

/// Messages and timers of several instances in one process, delivered in virtual time.
class MessageQueue
{
public:
    explicit MessageQueue(std::uint64_t seed)
        : m_random(seed)
    {
    }

    RandomGenerator &random()
    {
        return m_random;
    }

    fleet::TimePoint now() const
    {
        return m_now;
    }

    void at(fleet::TimePoint time, std::function<void()> deliver)
    {
        m_events.emplace(std::pair(time, ++m_counter), std::move(deliver));
    }

    /// Delivers the message after a short delay, or late, twice or not at all. Returns false if the message is lost.
    bool send(const Faults &faults, const std::function<void()> &deliver)
    {
        if (m_random.percentChance(faults.m_dropPercent)) {
            return false;
        }
        at(m_now + delay(faults), deliver);
        if (m_random.percentChance(faults.m_duplicatePercent)) {
            at(m_now + delay(faults), deliver);
        }
        return true;
    }

    void runUntil(fleet::TimePoint end)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            const auto event = m_events.extract(m_events.begin());
            m_now = std::max(m_now, event.key().first);
            event.mapped()();
        }
        m_now = std::max(m_now, end);
    }

private:
    fleet::Duration delay(const Faults &faults)
    {
        const bool isSlow = m_random.percentChance(faults.m_slowPercent);
        return fleet::Duration(1 + m_random.below(isSlow ? static_cast<int>(faults.m_slowMax.count()) : 20));
    }

    RandomGenerator m_random;
    fleet::TimePoint m_now = fleet::fromMilliseconds(1'796'367'600'000);
    std::uint64_t m_counter = 0;
    std::map<std::pair<fleet::TimePoint, std::uint64_t>, std::function<void()>> m_events;
};

}

#endif
