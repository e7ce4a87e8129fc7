// Tests the cost of reports and their answers for an entry with many workers, and their format.
#include <map>
#include <set>

#include <criterion/criterion.h>

#include "base/errors.h"
#include "base/json.h"
#include "jobs/messages.h"
#include "jobs/table_source_rotation.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

constexpr int WorkerCount = 76;

std::vector<std::string> entries(int count)
{
    std::vector<std::string> names;
    for (int number = 0; number < count; ++number)
        names.push_back("entry-" + std::to_string(number));
    return names;
}

std::string workerNamed(int number)
{
    return "worker-" + std::to_string(number);
}

// A table such as a deployment with 10 serving images and 18 best-effort images learns.
interference_table learnedTable()
{
    interference_table table;
    for (int serving = 0; serving < 10; ++serving) {
        auto &row = table["serving-" + std::to_string(serving)];
        row.floorMs = 25;
        for (int bestEffort = 0; bestEffort < 18; ++bestEffort)
            row.loadsPerCore["filling-" + std::to_string(bestEffort)] = 0.031;
    }
    return table;
}

worker_report reportOf(const std::string &worker)
{
    worker_report report;
    report.worker = worker;
    report.epoch = 1;
    report.samples.push_back({"serving-1", 40, 150, {{"filling-1", 2.5}}, std::nullopt});
    return report;
}

// The size of an entry's answer to a report.
std::size_t answerBytes(const std::string &report, const interference_table &table)
{
    report_answer answer;
    if (reportFrom(report).wantsInterferenceTable)
        answer.interference = table;
    return toText(answer).size();
}

} // namespace

// Guards against an entry that has no processor time left for its callers. It had a small share of
// a processor and wrote the whole interference table into the answer to each report of each worker.
Test(report_load, the_interference_table_for_many_workers)
{
    const auto names = entries(14);
    const auto table = learnedTable();
    report_answer whole;
    whole.interference = table;
    const auto tableBytes = toText(whole).size();
    std::map<std::string, std::size_t> bytesSent; // by entry
    for (int number = 0; number < WorkerCount; ++number) {
        table_source_rotation rotation(workerNamed(number));
        for (std::size_t second = 0; second < names.size(); ++second) {
            const auto asked = rotation.next(names);
            for (const auto &entry : names) {
                auto report = reportOf(workerNamed(number));
                report.wantsInterferenceTable = entry == asked;
                bytesSent[entry] += answerBytes(toText(report), table);
            }
        }
    }

    section("within as many seconds as there are entries, each sends each worker one table", [&] {
        const std::size_t reports = WorkerCount * names.size();
        for (const auto &[entry, bytes] : bytesSent)
            cr_assert_leq(bytes,
                          WorkerCount * tableBytes + reports * toText(report_answer{}).size());
    });

    section("in any second the requests are spread over the entries", [&] {
        std::map<std::string, int> workersPerEntry;
        for (int number = 0; number < WorkerCount; ++number)
            ++workersPerEntry[table_source_rotation(workerNamed(number)).next(names)];
        for (const auto &[entry, workers] : workersPerEntry)
            cr_assert_leq(workers, 3 * WorkerCount / 14, "%s: %d", entry.c_str(), workers);
    });
}

Test(report_load, entries_are_asked_round_robin)
{
    table_source_rotation rotation(workerNamed(1));

    section("no entries: none is asked", [&] { cr_assert(rotation.next({}).empty()); });

    section("a single entry is asked each time", [&] {
        cr_assert_eq(rotation.next(entries(1)), "entry-0");
        cr_assert_eq(rotation.next(entries(1)), "entry-0");
    });

    section("of several, each is asked once before any is asked again", [&] {
        std::set<std::string> asked;
        for (int second = 0; second < 5; ++second)
            asked.insert(rotation.next(entries(5)));
        cr_assert_eq(asked.size(), 5U);
    });
}

// Either of entries and agents may be upgraded first.
Test(report_load, agents_and_entries_of_two_releases)
{
    auto report = reportOf("worker-1");
    auto text = toText(report);
    const std::string member = R"(,"wants_presses":false)";

    section("an agent that does not ask gets no table",
            [&] { cr_assert_not(reportFrom(text).wantsInterferenceTable); });

    section("an agent that asks gets the table", [&] {
        report.wantsInterferenceTable = true;
        cr_assert(reportFrom(toText(report)).wantsInterferenceTable);
    });

    section("an agent of the previous release gets the table if it sends samples", [&] {
        text.erase(text.find(member), member.size());
        cr_assert(reportFrom(text).wantsInterferenceTable);
    });

    section("an agent of the previous release gets no table without samples", [&] {
        report.samples.clear();
        report.wantsInterferenceTable = false;
        text = toText(report);
        text.erase(text.find(member), member.size());
        cr_assert_not(reportFrom(text).wantsInterferenceTable);
    });
}

// A report is parsed completely or rejected as a whole.
Test(report_load, a_report_is_parsed_as_it_was_written)
{
    auto report = reportOf("worker-1");
    report.address = "10.0.0.1:7641";
    report.agentIncarnation = 3;
    report.clockMs = 486'000;
    report.isAccepting = true;
    report.capacity = {16'000, 64'000, 2};
    report.used = {9000, 30'000, 1};
    report.usedByLongRunning = {4000, 16'000, 0};
    report.bestEffortMillicores = 5250;
    report.serving = {{"serving-1", 0.351, "job-1"}, {"serving-2", -1, "job-2", true}};
    report.bestEffortDemand = {{"filling-1", 1.75}, {"filling-2", 2}};
    report.samples.push_back(
            {"serving-2", 80, 150, {}, interference_change{0.0125, {{"x", -1.5}}}});
    report.wantsInterferenceTable = true;
    report.ends = {{7, {"job-1", 0, 1, 2}, 4, end_kind::Failed, "half"}};
    report.progress = {{{"job-2", 1, 0, 0}, 1, "a \"quarter\"\n"}};

    section("every member survives", [&] {
        const auto parsed = reportFrom(toText(report));
        cr_assert_eq(toText(parsed), toText(report));
        cr_assert_eq(parsed.clockMs, 486'000);
        cr_assert_eq(parsed.ends.front().endKind, end_kind::Failed);
        cr_assert_eq(parsed.serving.back().headroom, -1);
    });

    section("without one member it is rejected, or read as one of the previous release", [&] {
        const std::set<std::string> optional{"serving",       "filling", "samples",
                                             "wants_presses", "lasting", "clock_ms"};
        const auto whole = parseJsonObject(toText(report));
        for (const auto &name : whole.getMemberNames()) {
            auto reduced = whole;
            reduced.removeMember(name);
            bool isParsed = true;
            try {
                reportFrom(compactJson(reduced));
            } catch (const error &) {
                isParsed = false;
            }
            cr_assert_eq(isParsed, optional.contains(name), "%s", name.c_str());
        }
    });

    section("a member of another type is rejected", [&] {
        const auto whole = parseJsonObject(toText(report));
        for (const auto &name : whole.getMemberNames()) {
            auto other = whole;
            other[name] = Json::Value(Json::nullValue);
            cr_assert_throw(reportFrom(compactJson(other)), error, "%s", name.c_str());
        }
    });

    section("truncated text and trailing text are rejected", [&] {
        const auto text = toText(report);
        cr_assert_throw(reportFrom(text.substr(0, text.size() / 2)), error);
        cr_assert_throw(reportFrom(text + "{}"), error);
    });
}
