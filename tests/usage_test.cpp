// Reports of task usage from agent to owner: their size, and the effect of lost, duplicated and
// reordered reports.
#include <cstdio>

#include "base/json.h"
#include "base/random.h"
#include "section.h"
#include "work/usage.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;
using namespace zinniabarrow::work;

namespace {

constexpr std::int64_t Megabyte = 1 << 20;

usage_by_task tasksOf(std::uint32_t count)
{
    usage_by_task usage;
    for (std::uint32_t index = 0; index < count; ++index)
        usage[{"season@3", index}] = {400 + index, (900 + index) * Megabyte};
    return usage;
}

std::size_t bytesOf(const usage_report &report)
{
    Json::Value message(Json::objectValue);
    addToJson(message, report);
    return compactJson(message).size();
}

usage_report serializedAndParsed(const usage_report &report)
{
    Json::Value message(Json::objectValue);
    addToJson(message, report);
    return usageReportFromJson(parseJson(compactJson(message)));
}

bool isClose(const usage_by_task &left, const usage_by_task &right, const usage_settings &settings)
{
    if (left.size() != right.size())
        return false;
    for (const auto &[task, usage] : left) {
        const auto other = right.find(task);
        if (other == right.end()
            || std::abs(usage.bytes - other->second.bytes)
                       > std::max<std::int64_t>(settings.bytesThreshold, usage.bytes / 16)
            || std::abs(usage.millicores - other->second.millicores) > std::max<std::int64_t>(
                       settings.millicoresThreshold, usage.millicores / 16))
            return false;
    }
    return true;
}

} // namespace

// Bounds the traffic of usage reports: 32 tasks whose usage hardly changes, reports of one minute.
Test(usage, bytes_of_32_tasks)
{
    usage_reporter reporter("agent-1#1", {});
    std::size_t fullBytes = 0;
    std::size_t sum = 0;
    for (int report = 0; report < 30; ++report) {
        auto usage = tasksOf(32);
        usage[{"season@3", 0}].millicores += report % 2 * 100; // the usage of one task does change
        const auto bytes = bytesOf(reporter.nextReport(usage, time_point(seconds(2 * report))));
        fullBytes = std::max(fullBytes, bytes);
        sum += bytes;
    }
    std::fprintf(stderr, "| 32 tasks | full report %zu B | 30 reports in a minute: %.0f B/s |\n",
                 fullBytes, static_cast<double>(sum) / 60);
    check(fullBytes < 2'200);
    check(sum / 60 < 150);
}

// An owner that places tasks by usage must not keep an old value because a report was lost, nor
// return to it because a report arrived twice or late. Reports are lost, swapped and delayed at
// random; after the next full report the owner must know what the worker measured.
Test(usage, lost_duplicated_and_reordered)
{
    const usage_settings settings;
    random_generator random(7, 1);
    for (int run = 0; run < 300; ++run) {
        usage_reporter reporter("s", settings);
        usage_tracker tracker;
        auto measured = tasksOf(4);
        std::vector<usage_report> inFlight;
        for (int turn = 0; turn < 40; ++turn) {
            const time_point now(seconds(2 * turn));
            measured[{"season@3", static_cast<std::uint32_t>(drawIndex(random, 6))}] = {
                    static_cast<std::int64_t>(drawIndex(random, 4'000)),
                    static_cast<std::int64_t>(drawIndex(random, 4'000)) * Megabyte};
            if (drawIndex(random, 8) == 0)
                measured.erase(measured.begin());
            inFlight.push_back(serializedAndParsed(reporter.nextReport(measured, now)));
            const auto fault = drawIndex(random, 5);
            if (fault == 0)
                inFlight.pop_back(); // lost
            else if (fault == 1 && inFlight.size() > 1)
                std::swap(inFlight.back(), inFlight[inFlight.size() - 2]);
            if (fault == 2 || inFlight.empty())
                continue; // late: delivered with the next report
            const auto delivered = inFlight;
            for (const auto &report : delivered) {
                const auto known = tracker.applyReport("w", report);
                // What the newest report yields must be what was measured for it.
                if (known && report.sequence == static_cast<std::uint64_t>(turn) + 1) {
                    for (const auto &[task, usage] : *known)
                        check(measured.contains(task)
                              && isClose({{task, usage}}, {{task, measured[task]}}, settings));
                }
                check(!tracker.applyReport("w", report));
            }
            inFlight.clear();
        }
        reporter.requestFullReport();
        const auto recovered =
                tracker.applyReport("w", reporter.nextReport(measured, time_point(seconds(100))));
        check(recovered && isClose(*recovered, measured, settings));
    }
}

// Processes are replaced one by one, so an agent and its owner may be of different releases.
Test(usage, agent_and_owner_of_different_releases)
{
    section("an older agent's reports are full, however often they come", [] {
        usage_tracker tracker;
        const auto message = parseJson(
                R"({"tasks":[{"task":"a/0","millicores":5,"bytes":7}],"worker":"w","age_ms":3})");
        const usage_by_task expected{{{"a", 0}, {5, 7}}};
        check(tracker.applyReport("w", usageReportFromJson(message)) == expected);
        check(tracker.applyReport("w", usageReportFromJson(message)) == expected);
    });
    section("a report of changes has the members that an older owner reads", [] {
        usage_reporter reporter("s", {});
        reporter.nextReport(tasksOf(2), time_point(seconds(0)));
        Json::Value message(Json::objectValue);
        addToJson(message, reporter.nextReport(tasksOf(3), time_point(seconds(2))));
        check(message["tasks"].isArray() && message["tasks"].size() == 1);
        check(message["tasks"][0]["task"].asString() == "season@3/2");
    });
    section("a replaced agent starts with a full report, whatever its predecessor sent", [] {
        usage_tracker tracker;
        usage_reporter before("s1", {});
        for (int report = 0; report < 5; ++report)
            tracker.applyReport("w",
                                before.nextReport(tasksOf(4), time_point(seconds(2 * report))));
        usage_reporter after("s2", {});
        check(tracker.applyReport("w", after.nextReport(tasksOf(2), time_point(seconds(20))))
              == tasksOf(2));
    });
}
