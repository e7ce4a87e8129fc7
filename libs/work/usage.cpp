#include "work/usage.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/json_member.h"

namespace zinniabarrow::work {

void addToJson(Json::Value &message, const usage_report &report)
{
    message["tasks"] = Json::Value(Json::arrayValue);
    for (const auto &[task, usage] : report.tasks) {
        Json::Value item(Json::objectValue);
        item["task"] = textOf(task);
        item["millicores"] = Json::Int64(usage.millicores);
        item["bytes"] = Json::Int64(usage.bytes);
        message["tasks"].append(std::move(item));
    }
    if (report.session.empty())
        return;
    message["session"] = report.session;
    message["sequence"] = Json::UInt64(report.sequence);
    if (!report.isFull)
        message["changes"] = true;
    for (const auto &task : report.endedTasks)
        message["ended"].append(textOf(task));
}

usage_report usageReportFromJson(const Json::Value &message)
{
    usage_report report;
    for (const auto &item : arrayMember(message, "tasks")) {
        report.tasks[taskIdFromText(stringMember(item, "task"))] = {
                integerMember(item, "millicores"), integerMember(item, "bytes")};
    }
    report.session = stringMemberOr(message, "session", "");
    if (report.session.empty())
        return report;
    report.sequence = countMember(message, "sequence");
    report.isFull = !message.isMember("changes");
    if (message.isMember("ended")) {
        for (const auto &task : arrayMember(message, "ended"))
            report.endedTasks.push_back(taskIdFromText(task.asString()));
    }
    return report;
}

usage_reporter::usage_reporter(std::string session, usage_settings settings)
    : m_session(std::move(session))
    , m_settings(settings)
{ }

usage_report usage_reporter::nextReport(const usage_by_task &measured, time_point now)
{
    usage_report report;
    if (now >= m_nextFullReportAt) {
        m_nextFullReportAt = now + m_settings.fullReportInterval;
        m_lastSent = measured;
        report.tasks = measured;
    } else {
        report = changesSince(measured);
    }
    report.session = m_session;
    report.sequence = ++m_sequence;
    return report;
}

usage_report usage_reporter::changesSince(const usage_by_task &measured)
{
    usage_report report;
    report.isFull = false;
    std::erase_if(m_lastSent, [&](const auto &item) {
        const bool hasEnded = !measured.contains(item.first);
        if (hasEnded)
            report.endedTasks.push_back(item.first);
        return hasEnded;
    });
    for (const auto &[task, usage] : measured) {
        const auto sent = m_lastSent.find(task);
        if (sent != m_lastSent.end() && !hasChanged(sent->second, usage))
            continue;
        m_lastSent[task] = usage;
        report.tasks[task] = usage;
    }
    return report;
}

bool usage_reporter::hasChanged(const task_usage &sent, const task_usage &measured) const
{
    const auto exceeds = [&](std::int64_t before, std::int64_t after, std::int64_t threshold) {
        const auto allowed = static_cast<std::int64_t>(static_cast<double>(before)
                                                       * m_settings.relativeThreshold);
        return std::abs(after - before) > std::max(allowed, threshold);
    };
    return exceeds(sent.millicores, measured.millicores, m_settings.millicoresThreshold)
           || exceeds(sent.bytes, measured.bytes, m_settings.bytesThreshold);
}

std::optional<usage_by_task> usage_tracker::applyReport(const std::string &worker,
                                                        const usage_report &report)
{
    if (report.session.empty())
        return report.tasks;
    auto &stored = m_workers[worker];
    const bool isSameSession = stored.session == report.session;
    // A duplicated or late report would set the usage back to an old value.
    if (isSameSession && report.sequence <= stored.sequence)
        return std::nullopt;
    // A lost report may have contained changes, so the usage before it is no longer known.
    const bool isNextInSequence = isSameSession && report.sequence == stored.sequence + 1;
    if (!report.isFull && !(isNextInSequence && stored.isComplete)) {
        stored = {report.session, report.sequence, false, {}};
        return report.tasks;
    }
    if (report.isFull)
        stored.tasks.clear();
    stored.session = report.session;
    stored.sequence = report.sequence;
    stored.isComplete = true;
    for (const auto &task : report.endedTasks)
        stored.tasks.erase(task);
    for (const auto &[task, usage] : report.tasks)
        stored.tasks[task] = usage;
    return stored.tasks;
}

} // namespace zinniabarrow::work
