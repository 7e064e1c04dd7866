#ifndef COMPONENTS_JOURNAL_RECORD_HPP
#define COMPONENTS_JOURNAL_RECORD_HPP

#include "components/journal/holder_claimed.hpp"
#include "components/journal/holder_heartbeat.hpp"
#include "components/journal/holder_resigned.hpp"
#include "components/journal/instance_started.hpp"
#include "components/journal/job_accepted.hpp"
#include "components/journal/job_cancelled.hpp"
#include "components/journal/runs_ended.hpp"
#include "components/journal/runs_launched.hpp"
#include "components/journal/snapshot_written.hpp"
#include "components/journal/upkeep_ordered.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace journal
{

/// One record of the journal. The order of the alternatives is part of the stored format.
using Record = std::variant<JobAccepted,
                            JobCancelled,
                            RunsLaunched,
                            RunsEnded,
                            InstanceStarted,
                            HolderClaimed,
                            HolderResigned,
                            HolderHeartbeat,
                            SnapshotWritten,
                            UpkeepOrdered>;

/// Maximum bytes of an encoded record. The store accepts no longer ones, and an append of one would be repeated without end.
constexpr std::size_t maxRecordBytes = 262'144;

std::string encode(const Record &record);

/// @throws wire::CodecError if the bytes are not a record of this format.
Record decode(std::string_view bytes);

}

#endif
