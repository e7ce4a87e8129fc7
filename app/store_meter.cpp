#include "app/store_meter.h"

#include <algorithm>
#include <numeric>

#include <fmt/core.h>

#include "app/job_tables.h"
#include "base/names.h"
#include "platform/store_wire.h"

namespace zinniabarrow {

using namespace jobs;

namespace {

constexpr name_table<store_purpose, StorePurposeCount> PurposeNames = {{
        {store_purpose::JobAccept, "job_accept"},
        {store_purpose::JobState, "job_state"},
        {store_purpose::JobProgress, "job_progress"},
        {store_purpose::JobRemoval, "job_removal"},
        {store_purpose::JobRead, "job_read"},
        {store_purpose::Cancel, "cancel"},
        {store_purpose::Summary, "summary"},
        {store_purpose::Lease, "lease"},
        {store_purpose::Registration, "registration"},
        {store_purpose::Configuration, "configuration"},
        {store_purpose::Relay, "relay"},
        {store_purpose::Other, "other"},
}};

constexpr name_table<store_outcome, StoreOutcomeCount> OutcomeNames = {{
        {store_outcome::Done, "done"},
        {store_outcome::Conflict, "conflict"},
        {store_outcome::TurnedAway, "turned_away"},
        {store_outcome::NoAnswer, "no_answer"},
        {store_outcome::NotReadable, "not_readable"},
}};

std::size_t indexOf(store_purpose purpose)
{
    return static_cast<std::size_t>(purpose);
}

std::size_t indexOf(store_outcome outcome)
{
    return static_cast<std::size_t>(outcome);
}

bool writesTable(const row_transaction &transaction, std::string_view table)
{
    return std::any_of(transaction.set.begin(), transaction.set.end(),
                       [&](const row &written) { return written.name.table == table; });
}

bool expectsNoRow(const row_transaction &transaction)
{
    return std::all_of(transaction.expected.begin(), transaction.expected.end(),
                       [](const row_expectation &expected) { return expected.version == 0; });
}

store_purpose purposeOfJobWrite(const row_transaction &transaction)
{
    if (writesTable(transaction, CancelsTable))
        return store_purpose::Cancel;
    if (expectsNoRow(transaction))
        return store_purpose::JobAccept;
    return writesTable(transaction, SummariesTable) ? store_purpose::JobState
                                                    : store_purpose::JobProgress;
}

} // namespace

std::string_view nameOf(store_purpose purpose)
{
    return nameOf(PurposeNames, purpose);
}

std::string_view nameOf(store_outcome outcome)
{
    return nameOf(OutcomeNames, outcome);
}

store_purpose purposeOf(const row_transaction &transaction)
{
    if (!transaction.remove.empty())
        return store_purpose::JobRemoval;
    if (writesTable(transaction, JobsTable))
        return purposeOfJobWrite(transaction);
    if (writesTable(transaction, LeasesTable))
        return store_purpose::Lease;
    return writesTable(transaction, EntriesTable) ? store_purpose::Registration
                                                  : store_purpose::Other;
}

store_purpose purposeOfRead(std::string_view table)
{
    if (table == JobsTable || table == PayloadsTable)
        return store_purpose::JobRead;
    if (table == SummariesTable)
        return store_purpose::Summary;
    if (table == CancelsTable)
        return store_purpose::Cancel;
    if (table == LeasesTable)
        return store_purpose::Lease;
    if (table == EntriesTable)
        return store_purpose::Registration;
    return table == platform_wire::ConfigurationRowName.table ? store_purpose::Configuration
                                                              : store_purpose::Other;
}

store_outcome storeOutcomeOf(const call_result &result)
{
    if (const auto *failure = std::get_if<call_failure>(&result)) {
        if (*failure == call_failure::TooLarge)
            return store_outcome::NotReadable;
        return mayHaveArrived(*failure) ? store_outcome::NoAnswer : store_outcome::TurnedAway;
    }
    switch (std::get<http_response>(result).status) {
    case 200:
        return store_outcome::Done;
    case 412:
        return store_outcome::Conflict;
    case 429:
    case 503:
        return store_outcome::TurnedAway;
    case 502: // of a relay
        return store_outcome::NoAnswer;
    default:
        return store_outcome::NotReadable;
    }
}

void store_meter::record(store_purpose purpose, store_outcome outcome, std::size_t sentBytes,
                         std::size_t receivedBytes)
{
    auto &totals = m_totals.at(indexOf(purpose));
    ++totals.calls.at(indexOf(outcome));
    totals.sentBytes += sentBytes;
    totals.receivedBytes += receivedBytes;
}

void store_meter::publish(metrics &counters)
{
    for (const auto &[purpose, purposeName] : PurposeNames) {
        const auto &totals = m_totals.at(indexOf(purpose));
        const auto &published = m_published.at(indexOf(purpose));
        for (const auto &[outcome, outcomeName] : OutcomeNames) {
            const auto added =
                    totals.calls.at(indexOf(outcome)) - published.calls.at(indexOf(outcome));
            if (added > 0)
                counters.countStoreCalls(purposeName, outcomeName, added);
        }
        counters.countStoreBytes(purposeName, byte_direction::Sent,
                                 totals.sentBytes - published.sentBytes);
        counters.countStoreBytes(purposeName, byte_direction::Received,
                                 totals.receivedBytes - published.receivedBytes);
    }
    m_published = m_totals;
}

void store_meter::writeTo(event_log &log) const
{
    const auto text = summary();
    if (!text.empty())
        log.writeEvent("store_calls", {{"by_purpose", text}});
}

std::string store_meter::summary() const
{
    std::string text;
    for (const auto &[purpose, name] : PurposeNames) {
        const auto &totals = m_totals.at(indexOf(purpose));
        const auto calls =
                std::accumulate(totals.calls.begin(), totals.calls.end(), std::uint64_t{0});
        if (calls == 0)
            continue;
        text += fmt::format("{}{} {}/{} {}", text.empty() ? "" : ", ", name, calls,
                            calls - totals.calls.at(indexOf(store_outcome::Done)),
                            totals.sentBytes + totals.receivedBytes);
    }
    return text;
}

} // namespace zinniabarrow
