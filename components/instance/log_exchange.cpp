#include "components/instance/log_exchange.hpp"

#include "components/configuration/change_result.hpp"
#include "components/configuration/record.hpp"
#include "components/instance/configuration_calls.hpp"
#include "components/instance/core.hpp"
#include "components/instance/job_calls.hpp"
#include "components/instance/peer_view.hpp"
#include "components/instance/zone_scheduling.hpp"
#include "components/instance/zone_view.hpp"
#include "components/logging/log.hpp"
#include "components/wire/codec_error.hpp"

namespace instance
{

namespace
{

/// The configuration stream's writer counts by itself.
constexpr std::uint64_t noCounter = 0;

const logging::Log &log()
{
    static const logging::Log log("log");
    return log;
}

LogReader &readerOf(Core &core, LogStream stream)
{
    return stream == LogStream::Configuration ? core.m_configurationReader : core.m_systemReader;
}

std::uint64_t nextOffset(const Core &core, LogStream stream)
{
    return stream == LogStream::Configuration ? core.m_configuration.m_next : core.m_records.m_next;
}

/// The records of an entry; none where it is a snapshot or cannot be read.
std::vector<records::Record> recordsOf(const std::string &bytes)
{
    try {
        const records::Entry entry = records::decodeEntry(bytes);
        const auto *batch = std::get_if<records::Batch>(&entry);
        return batch ? batch->m_records : std::vector<records::Record>();
    } catch (const wire::CodecError &) {
        return {};
    }
}

void foldConfiguration(Core &core, const platform::LogRecord &record)
{
    const auto result = configuration::fold(core.m_configuration, record.m_offset, record.m_at, record.m_body);
    if (result) {
        noteChangeResult(core, *result);
    }
}

void foldSystem(Core &core, const platform::LogRecord &record, fleet::TimePoint now)
{
    const std::vector<records::Record> entries = recordsOf(record.m_body);
    const std::vector<records::RecordResult> results = records::fold(core.m_records, record.m_offset, record.m_at, record.m_body);
    for (const records::RecordResult &result : results) {
        for (const records::Record &entry : entries) {
            if (entry.m_id == result.m_id) {
                noteRecord(core, entry, result, record.m_at, now);
            }
        }
    }
}

/// A stream that holds no record yet is known whole, although nothing of it was folded.
void noteEmptyStream(Core &core, LogStream stream, const platform::LogPage &page)
{
    if (page.m_endOffset > 0) {
        return;
    }
    if (stream == LogStream::Configuration) {
        core.m_configuration.m_complete = true;
    } else {
        core.m_records.m_complete = true;
    }
}

void noteReadToEnd(Core &core, LogStream stream, fleet::TimePoint now)
{
    if (stream == LogStream::Configuration) {
        noteConfigurationRead(core, now);
    } else {
        noteHolderRead(core, now);
    }
}

void foldPage(Core &core, LogStream stream, const platform::LogPage &page, fleet::TimePoint now)
{
    for (const platform::LogRecord &record : page.m_records) {
        if (stream == LogStream::Configuration) {
            foldConfiguration(core, record);
        } else {
            foldSystem(core, record, now);
        }
    }
    noteEmptyStream(core, stream, page);
}

AppendOutcome toOutcome(platform::AppendKind kind)
{
    switch (kind) {
    case platform::AppendKind::Appended:
        return AppendOutcome::Appended;
    case platform::AppendKind::NotAppended:
        return AppendOutcome::NotAppended;
    case platform::AppendKind::Unknown:
        break;
    }
    return AppendOutcome::Unknown;
}

}

void tickLog(Core &core, fleet::TimePoint now)
{
    if (core.m_batcher.m_lastCounter == 0) {
        records::add(core.m_batcher, core.m_settings.m_zone, {}, records::InstanceStarted {core.m_settings.m_zone}, now);
    }
    for (const LogStream stream : logStreams) {
        if (beginRead(readerOf(core, stream), core.m_settings.m_logPollInterval, now)) {
            core.m_ports.m_read(stream, nextOffset(core, stream));
        }
    }
}

void flushLog(Core &core, fleet::TimePoint now)
{
    const std::vector<std::string> changes = core.m_configurationWriter.beginAppend(now);
    if (!changes.empty()) {
        core.m_ports.m_append(LogStream::Configuration, changes.front(), noCounter);
    }
    if (const auto append = records::nextAppend(core.m_batcher, now)) {
        core.m_ports.m_append(LogStream::System, append->m_bytes, append->m_upTo);
    }
}

void endAppend(Core &core, const LogAppendEnded &event, fleet::TimePoint now)
{
    const bool appended = event.m_result.m_kind == platform::AppendKind::Appended;
    readerOf(core, event.m_stream).m_again = readerOf(core, event.m_stream).m_again || appended;
    if (event.m_stream == LogStream::Configuration) {
        core.m_configurationWriter.endAppend(toOutcome(event.m_result.m_kind), now);
    } else if (event.m_upTo == snapshotAppend) {
        core.m_copies.m_systemSnapshotInFlight = false;
    } else if (appended) {
        records::noteAppended(core.m_batcher, event.m_upTo);
    } else {
        records::noteFailed(core.m_batcher, now);
    }
    tickLog(core, now);
}

void takePage(Core &core, const LogReadEnded &event, fleet::TimePoint now)
{
    LogReader &reader = readerOf(core, event.m_stream);
    if (!event.m_result.m_page) {
        if (!reader.m_failed) {
            log().warning("Stream " + std::string(streamName(event.m_stream)) + " cannot be read: " + event.m_result.m_reason + ".");
        }
        failRead(reader);
        return;
    }
    const platform::LogPage &page = *event.m_result.m_page;
    foldPage(core, event.m_stream, page, now);
    const bool reachedEnd = nextOffset(core, event.m_stream) >= page.m_endOffset;
    endRead(reader, reachedEnd);
    if (reachedEnd) {
        noteReadToEnd(core, event.m_stream, now);
    }
    tickLog(core, now);
}

}
