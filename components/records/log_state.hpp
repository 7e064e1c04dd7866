#ifndef COMPONENTS_RECORDS_LOG_STATE_HPP
#define COMPONENTS_RECORDS_LOG_STATE_HPP

#include "components/fleet/time.hpp"
#include "components/records/holder.hpp"
#include "components/records/job.hpp"
#include "components/records/monthly_totals.hpp"
#include "components/records/record.hpp"

#include <cereal/types/map.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace records
{

/// Position of the last record of one writer that was applied.
struct WriterPosition
{
    std::uint64_t m_counter = 0;
    fleet::TimePoint m_at;

    bool operator==(const WriterPosition &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_counter);
        fleet::serializeTime(archive, m_at);
    }
};

/// The state that applying the records of the system's stream gives. Equal for all readers at the same offset.
struct LogState
{
    std::map<fleet::JobId, Job> m_jobs;
    std::map<fleet::ZoneId, Holder> m_holders;
    std::map<WriterId, WriterPosition> m_writers;
    std::vector<MonthlyTotals> m_totals;

    bool operator==(const LogState &) const = default;

    const Job *findJob(const fleet::JobId &job) const;
    const Holder *findHolder(const fleet::ZoneId &zone) const;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_jobs, m_holders, m_writers, m_totals);
    }
};

/// Whether one record was accepted.
struct RecordResult
{
    RecordId m_id;
    bool m_accepted = false;
    /// Why the record was rejected; empty if it was accepted.
    std::string m_reason;

    bool operator==(const RecordResult &) const = default;
};

/// Applies one record that the log stored at `offset` and time `at`. A repeated record is rejected as a duplicate and
/// changes nothing. A record that needs a fencing token is rejected if its token is not the current one of its zone.
RecordResult apply(LogState &state, const Record &record, std::uint64_t offset, fleet::TimePoint at);

/// Removes ended jobs and inactive writers past their retention, by the time of the log.
void forgetOld(LogState &state, fleet::TimePoint at);

}

#endif
