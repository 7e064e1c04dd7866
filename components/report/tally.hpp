#ifndef COMPONENTS_REPORT_TALLY_HPP
#define COMPONENTS_REPORT_TALLY_HPP

#include <cstdint>

namespace report
{

/// Numbers of good events and of all events of one objective.
struct Tally
{
    std::uint64_t m_good = 0;
    std::uint64_t m_total = 0;

    bool operator==(const Tally &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_good, m_total);
    }
};

inline Tally operator+(const Tally &a, const Tally &b)
{
    return {a.m_good + b.m_good, a.m_total + b.m_total};
}

}

#endif
