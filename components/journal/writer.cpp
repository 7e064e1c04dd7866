#include "components/journal/writer.hpp"

#include "components/store/append_result.hpp"

#include <algorithm>
#include <utility>

namespace journal
{

namespace
{

/// A batch without an answer is resent after this many times the smoothed append time, within the limits below.
constexpr int resendFactor = 4;
constexpr fleet::Duration minResendDelay {80};
constexpr fleet::Duration maxResendDelay {1000};
/// Delay before a refused batch is resent, doubled with each call of the batch up to the limit.
constexpr fleet::Duration refusalRetryDelay {40};
constexpr int maxBackoffDoublings = 4;
/// Number of calls of a batch before the resend delay starts to double. Single answers get lost now and then, which is no reason
/// to back off.
constexpr int callsBeforeBackoff = 3;
/// Maximum number of open calls for one batch.
constexpr int maxOpenCalls = 8;
/// Maximum bytes of records in one call, below the store's own limit.
constexpr std::size_t maxBatchBytes = std::size_t {1} << 20;
/// The newest append time has a weight of 1 / smoothingDivisor in the moving average.
constexpr int smoothingDivisor = 4;

fleet::Duration resendDelay(const Writer &writer)
{
    return std::clamp(writer.m_smoothedAppendTime * resendFactor, minResendDelay, maxResendDelay);
}

store::AppendCall toCall(const Writer &writer, const store::Topic &topic)
{
    store::AppendCall call;
    call.m_topic = topic;
    for (const QueuedRecord &record : writer.m_sent->m_records) {
        call.m_records.push_back(record.m_bytes);
        if (topic.m_isKeyed) {
            call.m_keys.push_back(record.m_key);
        }
    }
    call.m_producer = store::Producer {writer.m_producer, writer.m_epoch, writer.m_sent->m_sequence};
    return call;
}

void formBatch(Writer &writer, fleet::BootTime now)
{
    SentBatch batch;
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < writer.m_queued.size() && (count == 0 || bytes + writer.m_queued[count].m_bytes.size() <= maxBatchBytes)) {
        bytes += writer.m_queued[count].m_bytes.size();
        ++count;
    }
    const auto end = writer.m_queued.begin() + static_cast<std::ptrdiff_t>(count);
    batch.m_records.assign(std::make_move_iterator(writer.m_queued.begin()), std::make_move_iterator(end));
    writer.m_queued.erase(writer.m_queued.begin(), end);
    batch.m_sequence = writer.m_nextSequence;
    batch.m_firstSentAt = now;
    writer.m_sent = std::move(batch);
}

std::vector<std::uint64_t> ticketsOf(const SentBatch &batch)
{
    std::vector<std::uint64_t> tickets;
    for (const QueuedRecord &record : batch.m_records) {
        tickets.push_back(record.m_ticket);
    }
    return tickets;
}

void updateAppendTime(Writer &writer, fleet::Duration took)
{
    writer.m_smoothedAppendTime += (took - writer.m_smoothedAppendTime) / smoothingDivisor;
}

/// Handles a refused call. Nothing was stored if no other call of the batch can have succeeded.
void onRefused(Writer &writer, WriteOutcome &outcome, fleet::BootTime now)
{
    SentBatch &batch = *writer.m_sent;
    if (writer.m_dropsRefusedBatches && !batch.m_isUncertain && batch.m_callsOpen == 0) {
        outcome.m_refused = ticketsOf(batch);
        writer.m_sent.reset();
        return;
    }
    batch.m_resendAt = now + refusalRetryDelay * (1 << std::min(batch.m_callsMade, maxBackoffDoublings));
}

}

void enqueue(Writer &writer, std::string bytes, std::uint64_t ticket)
{
    writer.m_queued.push_back({{}, std::move(bytes), ticket});
}

void enqueueKeyed(Writer &writer, std::string key, std::string bytes, std::uint64_t ticket)
{
    writer.m_queued.push_back({std::move(key), std::move(bytes), ticket});
}

std::optional<store::AppendCall> takeDueCall(Writer &writer, const store::Topic &topic, fleet::BootTime now)
{
    if (!writer.m_sent) {
        if (writer.m_queued.empty()) {
            return std::nullopt;
        }
        formBatch(writer, now);
    } else if (now < writer.m_sent->m_resendAt || writer.m_sent->m_callsOpen >= maxOpenCalls) {
        return std::nullopt;
    }
    ++writer.m_sent->m_callsOpen;
    ++writer.m_sent->m_callsMade;
    writer.m_sent->m_lastSentAt = now;
    const int doublings = std::clamp(writer.m_sent->m_callsMade - callsBeforeBackoff, 0, maxBackoffDoublings);
    writer.m_sent->m_resendAt = now + resendDelay(writer) * (1 << doublings);
    return toCall(writer, topic);
}

std::vector<std::uint64_t> withdrawUnsent(Writer &writer)
{
    std::vector<std::uint64_t> tickets;
    for (const QueuedRecord &record : writer.m_queued) {
        if (record.m_ticket > 0) {
            tickets.push_back(record.m_ticket);
        }
    }
    std::erase_if(writer.m_queued, [](const QueuedRecord &record) {
        return record.m_ticket > 0;
    });
    return tickets;
}

std::optional<fleet::BootTime> nextDue(const Writer &writer)
{
    if (writer.m_sent) {
        return writer.m_sent->m_resendAt;
    }
    return writer.m_queued.empty() ? std::nullopt : std::optional(fleet::BootTime());
}

WriteOutcome onAppendEnded(Writer &writer, std::uint64_t sequence, fleet::BootTime sentAt, const store::AppendResult &result, fleet::BootTime now)
{
    WriteOutcome outcome;
    if (!writer.m_sent || writer.m_sent->m_sequence != sequence) {
        return outcome;
    }
    --writer.m_sent->m_callsOpen;
    switch (result.m_outcome) {
    case store::AppendOutcome::Stored:
        updateAppendTime(writer, now - sentAt);
        outcome.m_stored = ticketsOf(*writer.m_sent);
        outcome.m_first = result.m_first;
        outcome.m_end = result.m_first + outcome.m_stored.size();
        writer.m_sent.reset();
        ++writer.m_nextSequence;
        break;
    case store::AppendOutcome::Fenced:
    case store::AppendOutcome::OutOfSequence:
        outcome.m_isFenced = true;
        break;
    case store::AppendOutcome::EndMoved:
        // Does not occur: the writer never sets AppendCall::m_requiredEnd.
        break;
    case store::AppendOutcome::Refused:
        onRefused(writer, outcome, now);
        break;
    case store::AppendOutcome::Unknown:
        writer.m_sent->m_isUncertain = true;
        writer.m_sent->m_resendAt = std::min(writer.m_sent->m_resendAt, now + refusalRetryDelay);
        break;
    }
    return outcome;
}

}
