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

/// `upTo` of an append to the configuration stream, whose writer tracks its appends itself.
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

/// Returns the records of an entry; empty if it is a snapshot or cannot be decoded.
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

void applyConfigurationRecord(Core &core, const platform::LogRecord &record)
{
    const auto result = configuration::applyRecord(core.m_configuration, record.m_offset, record.m_at, record.m_body);
    if (result) {
        onChangeResult(core, *result);
    }
}

void applySystemEntry(Core &core, const platform::LogRecord &record, fleet::TimePoint now)
{
    const std::vector<records::Record> entries = recordsOf(record.m_body);
    const std::vector<records::RecordResult> results = records::applyEntry(core.m_records, record.m_offset, record.m_at, record.m_body);
    for (const records::RecordResult &result : results) {
        for (const records::Record &entry : entries) {
            if (entry.m_id == result.m_id) {
                onRecordApplied(core, entry, result, record.m_at, now);
            }
        }
    }
}

/// Marks the state built from an empty stream as complete, since no record will be applied that could do so.
void markEmptyStreamComplete(Core &core, LogStream stream, const platform::LogPage &page)
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

void onReadToEnd(Core &core, LogStream stream, fleet::TimePoint now)
{
    if (stream == LogStream::Configuration) {
        onConfigurationRead(core, now);
    } else {
        onHolderRead(core, now);
    }
}

void applyPage(Core &core, LogStream stream, const platform::LogPage &page, fleet::TimePoint now)
{
    for (const platform::LogRecord &record : page.m_records) {
        if (stream == LogStream::Configuration) {
            applyConfigurationRecord(core, record);
        } else {
            applySystemEntry(core, record, now);
        }
    }
    markEmptyStreamComplete(core, stream, page);
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

void onAppendEnded(Core &core, const LogAppendEnded &event, fleet::TimePoint now)
{
    const bool appended = event.m_result.m_kind == platform::AppendKind::Appended;
    readerOf(core, event.m_stream).m_readAgain = readerOf(core, event.m_stream).m_readAgain || appended;
    if (event.m_stream == LogStream::Configuration) {
        core.m_configurationWriter.endAppend(toOutcome(event.m_result.m_kind), now);
    } else if (event.m_upTo == snapshotAppend) {
        core.m_stateTransfer.m_systemSnapshotInFlight = false;
    } else if (appended) {
        records::onAppendSucceeded(core.m_batcher, event.m_upTo);
    } else {
        records::onAppendFailed(core.m_batcher, now);
    }
    tickLog(core, now);
}

void onLogReadEnded(Core &core, const LogReadEnded &event, fleet::TimePoint now)
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
    applyPage(core, event.m_stream, page, now);
    const bool reachedEnd = nextOffset(core, event.m_stream) >= page.m_endOffset;
    endRead(reader, reachedEnd);
    if (reachedEnd) {
        onReadToEnd(core, event.m_stream, now);
    }
    tickLog(core, now);
}

}
