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

/// The last record of one writer that was folded.
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

/// Everything that the system's own stream says. The same at every reader at the same offset.
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

/// What became of one record.
struct RecordResult
{
    RecordId m_id;
    bool m_accepted = false;
    /// Rejected only.
    std::string m_reason;

    bool operator==(const RecordResult &) const = default;
};

/// Folds one record that the log took at `offset` and time `at`. A repeated record is rejected as a duplicate and
/// changes nothing; a record whose token is not the present one of its zone is rejected.
RecordResult apply(LogState &state, const Record &record, std::uint64_t offset, fleet::TimePoint at);

/// Drops ended jobs and silent writers past their retention, by the time of the log.
void forgetOld(LogState &state, fleet::TimePoint at);

}

#endif
