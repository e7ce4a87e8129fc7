#include "app/configuration_follower.h"

#include <utility>
#include <variant>

#include <fmt/ranges.h>

#include "base/errors.h"
#include "platform/configuration_wire.h"
#include "platform/store_wire.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

configuration_follower::configuration_follower(net::event_loop &loop, store_client &store,
                                               event_log &log)
    : m_log(log)
    , m_follower(
              loop, store, log, {platform_wire::ConfigurationRowName.table},
              [this](const auto &rows) { applyConfigurationRows(rows); },
              [this] { handleAllRead(); },
              [this](const follow_progress &progress) {
                  std::visit([this](const auto &event) { handleProgress(event); }, progress);
              })
{ }

void configuration_follower::start()
{
    m_follower.start();
}

void configuration_follower::notePeerVersion(std::int64_t version)
{
    m_tracker.recordOtherEntryVersion(version, suspendAwareNow());
}

const queue_table *configuration_follower::queues() const
{
    return m_queues ? &*m_queues : nullptr;
}

std::int64_t configuration_follower::version() const
{
    return m_queues ? m_queues->version() : 0;
}

bool configuration_follower::isConfirmed() const
{
    return m_tracker.isConfirmed(suspendAwareNow());
}

configuration_freshness configuration_follower::freshness()
{
    const auto result = m_tracker.freshness(suspendAwareNow());
    const bool isOutdated = result == configuration_freshness::Outdated;
    if (isOutdated != std::exchange(m_wasOutdated, isOutdated))
        m_log.writeEvent(isOutdated ? "configuration_outdated" : "configuration_caught_up",
                         {{"version", version()}});
    return result;
}

void configuration_follower::handleProgress(const feed_answer_begun &answer)
{
    const auto now = suspendAwareNow();
    if (answer.bytes > configuration_tracker::MaxEmptyAnswerBytes)
        m_answerBegunAt = now;
    m_tracker.recordAnswerStart(answer.bytes, now);
}

void configuration_follower::handleProgress(const all_changes_applied &changes)
{
    m_tracker.recordAnswerRead(changes.requestedAt);
}

void configuration_follower::handleAllRead()
{
    const auto previousZones = m_evacuated.zones();
    m_evacuated.finishFullRead();
    logZoneChanges(previousZones);
}

void configuration_follower::applyZones(const std::vector<row> &rows)
{
    std::vector<zone_row> zones;
    for (const auto &changedRow : rows) {
        if (auto zone = platform_wire::evacuatedZone(changedRow.name))
            zones.push_back({std::move(*zone), changedRow.removed});
    }
    const auto previousZones = m_evacuated.zones();
    m_evacuated.applyRows(zones);
    logZoneChanges(previousZones);
}

void configuration_follower::logZoneChanges(const std::set<std::string> &previousZones)
{
    if (previousZones != m_evacuated.zones())
        m_log.writeEvent("zones_evacuated",
                         {{"zones", fmt::format("{}", fmt::join(m_evacuated.zones(), " "))}});
}

// Applies only the newest configuration row that can be parsed. Parsing older ones as well would
// delay the newest one, and block the event loop for longer, which delays callers' requests.
void configuration_follower::applyConfigurationRows(const std::vector<row> &rows)
{
    applyZones(rows);
    for (auto newestFirst = rows.rbegin(); newestFirst != rows.rend(); ++newestFirst) {
        if (newestFirst->name == platform_wire::ConfigurationRowName && !newestFirst->removed
            && applyRow(*newestFirst))
            return;
    }
}

// False if the row can't be parsed.
bool configuration_follower::applyRow(const row &row)
{
    if (row.version > 0 && row.version <= m_rowVersion)
        return true; // applied before; a repeated read of the whole table returns it again
    try {
        const auto startedAt = suspendAwareNow();
        queue_table next(platform_wire::parseConfiguration(row.value));
        m_rowVersion = row.version;
        // Never goes back to an older version: what one version allowed must not be refused by an
        // older one.
        if (m_queues && next.version() <= m_queues->version())
            return true;
        m_queues.emplace(std::move(next));
        m_tracker.recordAppliedVersion(m_queues->version());
        logConfiguration(row.value.size(), startedAt);
        return true;
    } catch (const error &problem) {
        m_log.writeEvent("configuration_unreadable", {{"why", problem.what()}});
        return false;
    }
}

void configuration_follower::logConfiguration(std::size_t bytes, time_point startedAt)
{
    const auto answerBegunAt = std::exchange(m_answerBegunAt, std::nullopt);
    m_log.writeEvent("configuration",
                     {{"version", m_queues->version()},
                      {"routes", m_queues->size()},
                      {"bytes", bytes},
                      {"read_ms", millisecondsIn(startedAt - answerBegunAt.value_or(startedAt))},
                      {"parse_ms", millisecondsIn(suspendAwareNow() - startedAt)}});
}

} // namespace zinniabarrow
