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
        Json::Value entry(Json::objectValue);
        entry["task"] = textOf(task);
        entry["millicores"] = Json::Int64(usage.millicores);
        entry["bytes"] = Json::Int64(usage.bytes);
        message["tasks"].append(std::move(entry));
    }
    if (report.session.empty())
        return;
    message["session"] = report.session;
    message["sequence"] = Json::UInt64(report.sequence);
    if (!report.isWhole)
        message["changes"] = true;
    for (const auto &task : report.ended)
        message["ended"].append(textOf(task));
}

usage_report usageReportFromJson(const Json::Value &message)
{
    usage_report report;
    for (const auto &entry : arrayMember(message, "tasks")) {
        report.tasks[taskIdFromText(stringMember(entry, "task"))] = {
                integerMember(entry, "millicores"), integerMember(entry, "bytes")};
    }
    report.session = stringMemberOr(message, "session", "");
    if (report.session.empty())
        return report;
    report.sequence = countMember(message, "sequence");
    report.isWhole = !message.isMember("changes");
    if (message.isMember("ended")) {
        for (const auto &task : arrayMember(message, "ended"))
            report.ended.push_back(taskIdFromText(task.asString()));
    }
    return report;
}

usage_reporter::usage_reporter(std::string session, usage_settings settings)
    : m_session(std::move(session))
    , m_settings(settings)
{ }

usage_report usage_reporter::next(const usage_by_task &measured, time_point now)
{
    usage_report report;
    if (now >= m_wholeAt) {
        m_wholeAt = now + m_settings.wholeEvery;
        m_sent = measured;
        report.tasks = measured;
    } else {
        report = changes(measured);
    }
    report.session = m_session;
    report.sequence = ++m_sequence;
    return report;
}

usage_report usage_reporter::changes(const usage_by_task &measured)
{
    usage_report report;
    report.isWhole = false;
    std::erase_if(m_sent, [&](const auto &entry) {
        const bool hasEnded = !measured.contains(entry.first);
        if (hasEnded)
            report.ended.push_back(entry.first);
        return hasEnded;
    });
    for (const auto &[task, usage] : measured) {
        const auto sent = m_sent.find(task);
        if (sent != m_sent.end() && !hasChanged(sent->second, usage))
            continue;
        m_sent[task] = usage;
        report.tasks[task] = usage;
    }
    return report;
}

bool usage_reporter::hasChanged(const task_usage &sent, const task_usage &measured) const
{
    const auto exceeds = [&](std::int64_t before, std::int64_t after, std::int64_t least) {
        const auto allowed =
                static_cast<std::int64_t>(static_cast<double>(before) * m_settings.share);
        return std::abs(after - before) > std::max(allowed, least);
    };
    return exceeds(sent.millicores, measured.millicores, m_settings.millicores)
           || exceeds(sent.bytes, measured.bytes, m_settings.bytes);
}

std::optional<usage_by_task> usage_book::take(const std::string &worker, const usage_report &report)
{
    if (report.session.empty())
        return report.tasks;
    auto &known = m_workers[worker];
    const bool sameSession = known.session == report.session;
    // A doubled or late one would take the usage back to what it was.
    if (sameSession && report.sequence <= known.sequence)
        return std::nullopt;
    // A lost report may have told of a change: what stood before it is no longer known.
    const bool follows = sameSession && report.sequence == known.sequence + 1;
    if (!report.isWhole && !(follows && known.isComplete)) {
        known = {report.session, report.sequence, false, {}};
        return report.tasks;
    }
    if (report.isWhole)
        known.tasks.clear();
    known.session = report.session;
    known.sequence = report.sequence;
    known.isComplete = true;
    for (const auto &task : report.ended)
        known.tasks.erase(task);
    for (const auto &[task, usage] : report.tasks)
        known.tasks[task] = usage;
    return known.tasks;
}

} // namespace zinniabarrow::work
