// Tests what an entry learns of run times: how long tasks really take for their estimate, apart
// from what a slow worker adds, and how entries share it.
#include <cmath>
#include <random>

#include <criterion/criterion.h>

#include "base/errors.h"
#include "jobs/run_times.h"
#include "jobs/urgency.h"
#include "section.h"
#include "trained_pool.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::acceptingReport;
using zinniabarrow::tests::section;

namespace {

const run_kind Compile{"builds", "compiler"};
constexpr std::int64_t EstimateMs = 1000;

step_context stepOf(std::vector<std::int64_t> siblingsMs = {}, int tasks = 1,
                    const run_kind &kind = Compile)
{
    return {kind, EstimateMs, std::move(siblingsMs), tasks};
}

void recordRuns(run_times &times, int runs, std::int64_t durationMs, const run_kind &kind = Compile)
{
    for (int run = 0; run < runs; ++run)
        times.recordDone(stepOf({}, 1, kind), milliseconds(durationMs));
}

bool isNear(std::int64_t value, double expected, double tolerance = 0.12)
{
    return std::abs(static_cast<double>(value) / expected - 1) <= tolerance;
}

// What the store would hold after the entry has written its news.
std::string writeNews(run_times &times)
{
    auto text = toText(times.newsToStore());
    times.newsStored();
    return text;
}

bool isRefused(const std::string &text)
{
    try {
        profilesFrom(text);
    } catch (const error &problem) {
        return problem.kind() == error_kind::BadRequest;
    }
    return false;
}

} // namespace

// Callers estimate half of the true run time: slack is overstated until the entry has learned it.
Test(run_times, estimates_off_by_half)
{
    run_times times;
    recordRuns(times, 30, 2000);
    section("the kind's ratio replaces the estimate",
            [&] { check(isNear(times.quantileMs(stepOf(), 0.5), 2000)); });
    section("other kinds keep theirs", [&] {
        check(times.quantileMs(stepOf({}, 1, {"checks", "linker"}), 0.5) == EstimateMs);
    });
    section("a task of the same step that is done says more than the kind",
            [&] { check(isNear(times.quantileMs(stepOf({500}), 0.5), 500, 0.4)); });
    section("several leave the kind next to no say", [&] {
        check(isNear(times.quantileMs(stepOf({500, 500, 520, 490}), 0.5), 500));
    });
}

// Estimates scatter about run times that are more alike than they are: a long estimate is then
// mostly an error upwards, a short one an error downwards.
Test(run_times, estimates_that_scatter_more_than_run_times)
{
    run_times times;
    std::mt19937_64 random(11);
    std::normal_distribution<double> spread(0, 0.3);
    std::normal_distribution<double> errorOfEstimate(0, 0.6);
    double byEstimate = 0;
    double byKind = 0;
    for (int job = 0; job < 400; ++job) {
        const double durationMs = 1000 * std::exp(spread(random));
        const auto estimateMs = std::llround(durationMs * std::exp(errorOfEstimate(random)));
        const step_context step{Compile, estimateMs, {}, 1};
        const auto expectedMs = static_cast<double>(times.quantileMs(step, 0.5));
        byEstimate += std::abs(std::log(durationMs / static_cast<double>(estimateMs)));
        byKind += std::abs(std::log(durationMs / expectedMs));
        times.recordDone(step, milliseconds(std::llround(durationMs)));
    }
    check(byKind < 0.6 * byEstimate);
}

// Three tasks in a hundred take seven times as long: the typical run time must not follow them,
// the high quantiles must.
Test(run_times, long_tailed_kind)
{
    run_times times;
    std::mt19937_64 random(7);
    std::vector<std::int64_t> siblings;
    for (int step = 0; step < 60; ++step) {
        siblings.clear();
        for (int task = 0; task < 10; ++task)
            siblings.push_back(random() % 100 < 3 ? 7000 : 950 + static_cast<int>(random() % 100));
        for (const auto durationMs : siblings)
            times.recordDone(stepOf({}, 10), milliseconds(durationMs));
        times.recordStepDone(stepOf(siblings, 10));
    }
    section("the median stays",
            [&] { check(isNear(times.quantileMs(stepOf({}, 10), 0.5), 1000)); });
    section("one task in a hundred is expected to be long",
            [&] { check(isNear(times.quantileMs(stepOf({}, 10), 0.99), 7000)); });
    section("beside siblings as well", [&] {
        check(isNear(times.quantileMs(stepOf({2000, 2000}, 10), 0.99), 14'000, 0.25));
        check(isNear(times.quantileMs(stepOf({2000, 7000, 2000}, 10), 0.5), 2000, 0.2));
    });
    section("a step of many tasks probably has a long one", [&] {
        check(times.stepMs(stepOf({}, 100), 0.5) > 5000);
        check(isNear(times.stepMs(stepOf({}, 3), 0.5), 1000, 0.2));
    });
}

// A worker at a third of the speed beside workers that run long tasks: only the first is slow.
Test(run_times, slow_worker_beside_long_tasks)
{
    const auto now = time_point{std::chrono::hours(1)};
    worker_pool pool;
    for (const char *worker : {"slow", "long", "w3", "w4", "w5"})
        pool.update(acceptingReport(worker), now);
    for (int run = 0; run < 8; ++run) {
        for (const char *worker : {"w3", "w4", "w5"})
            pool.recordRunTime(worker, 1, false);
        pool.recordRunTime("slow", 3, false);
        pool.recordRunTime("long", run % 4 == 0 ? 7 : 1, false);
    }
    section("the slow worker is told by its runs", [&] {
        check(std::abs(pool.slowdownAmongPeers("slow") - 3) < 0.1);
        check(pool.find("slow")->slowdown > 2.9);
    });
    section("a long task now and then doesn't brand its worker", [&] {
        check(pool.slowdownAmongPeers("long") == 1);
        check(pool.find("long")->slowdown < 1.3);
    });
    section("best-effort runs that share processors don't either", [&] {
        for (int run = 0; run < 8; ++run)
            pool.recordRunTime("w3", 4, true);
        check(pool.slowdownAmongPeers("w3") == 1);
    });
    section("a few runs prove nothing", [&] {
        pool.update(acceptingReport("w6"), now);
        pool.recordRunTime("w6", 5, false);
        pool.recordRunTime("w6", 5, false);
        check(pool.slowdownAmongPeers("w6") == 1);
        check(pool.find("w6")->slowdown == 1);
    });
}

// The first jobs of the day, and one wide step whose tasks all share one wrong estimate.
Test(run_times, few_observations)
{
    run_times times;
    section("three steps prove nothing", [&] {
        recordRuns(times, 3, 5000);
        check(times.quantileMs(stepOf(), 0.9) == EstimateMs);
        check(times.failureShare(Compile) == 0);
    });
    section("neither do a hundred tasks of one step", [&] {
        const run_kind wide{"builds", "wide"};
        for (int task = 0; task < 100; ++task)
            times.recordDone(stepOf({}, 100, wide), milliseconds(5000));
        check(times.quantileMs(stepOf({}, 100, wide), 0.9) == EstimateMs);
    });
    section("tasks of the step itself do",
            [&] { check(isNear(times.quantileMs(stepOf({3000}), 0.5), 3000, 0.25)); });
}

// A new version of an image takes four times as long.
Test(run_times, forgetting_after_a_change)
{
    run_times times;
    recordRuns(times, 1000, 1000);
    recordRuns(times, 120, 4000);
    check(isNear(times.quantileMs(stepOf(), 0.5), 4000));
}

// One run in five fails, after a quarter of its estimate.
Test(run_times, failing_kind)
{
    run_times times;
    for (int round = 0; round < 200; ++round) {
        recordRuns(times, 4, 1000);
        times.recordFailed(stepOf(), milliseconds(250));
    }
    check(std::abs(times.failureShare(Compile) - 0.2) < 0.01);
    check(isNear(times.failureDelayMs(stepOf()), 250));
    section("a step of many tasks probably runs one of them again", [&] {
        check(isNear(times.stepMs(stepOf({}, 10), 0.5), 1250));
        check(isNear(times.stepMs(stepOf({}, 2), 0.5), 1000));
    });
}

// More kinds than an entry remembers, as when each job names an image of its own.
Test(run_times, kinds_without_end)
{
    run_times times;
    for (int number = 0; number < 1000; ++number) {
        recordRuns(times, 5, 3000, {"builds", std::to_string(number)});
        recordRuns(times, 1, 2000);
    }
    check(times.profiles().size() == run_times::MaxKinds);
    check(isNear(times.quantileMs(stepOf(), 0.5), 2000));
    check(profilesFrom(toText(times.profiles())).size() == run_times::MaxKinds);
}

// Rows that another version or a fault has written.
Test(run_times, malformed_rows)
{
    run_times times;
    recordRuns(times, 30, 2000);
    const auto good = toText(times.profiles());
    const auto with = [&](const std::string &from, const std::string &to) {
        auto text = good;
        const auto at = text.find(from);
        check(at != std::string::npos);
        return text.replace(at, from.size(), to);
    };
    section("a sound row is read", [&] { check(!isRefused(good)); });
    section("no JSON, another form, another version", [&] {
        for (const char *text : {"", "[]", "{}", R"({"v":1})", R"({"v":1,"kinds":{}})"})
            check(isRefused(text));
        check(isRefused(with(R"("v":1)", R"("v":2)")));
    });
    section("weights that are negative, no numbers, too large, or in no bucket", [&] {
        for (const char *histogram :
             {"[3,-100]", "[3,NaN]", "[3,1e99]", "[3,\"1\"]", "[3,99999999]", "[3]", "[44,100]",
              "[-1,100]", "[3,15000,4,15000]"})
            check(isRefused(with(R"("s":[])", std::string(R"("s":)") + histogram)));
        check(isRefused(with(R"("dn":3000)", R"("dn":-1)")));
        check(isRefused(with(R"("u":30)", R"("u":9223372036854775807)")));
    });
    section("too many kinds, a kind twice, too long a name, too large a row", [&] {
        check(isRefused(with("compiler", std::string(300, 'x'))));
        check(isRefused(good + std::string(200'000, ' ')));
        const auto start = good.find('[') + 1;
        const auto kind = good.substr(start, good.rfind(']') - start);
        check(isRefused(with(kind, kind + "," + kind)));
    });
}

// Two entries see different jobs of one queue and write one row in turn.
Test(run_times, two_entries_merge)
{
    run_times one;
    run_times two;
    recordRuns(one, 20, 2000);
    recordRuns(two, 60, 4000);
    const auto first = writeNews(one);
    section("the second adds what it saw to the row", [&] {
        two.adopt(profilesFrom(first));
        one.adopt(profilesFrom(writeNews(two)));
        check(std::abs(one.profiles().at(Compile).calibration.weight() - 80) < 0.1);
        check(isNear(one.quantileMs(stepOf(), 0.5),
                     std::sqrt(std::sqrt(2000.0 * 4000 * 4000 * 4000))));
        check(!one.hasNews() && !two.hasNews());
    });
    section("what a conflict kept out of the row is written next time, once", [&] {
        recordRuns(two, 10, 4000);
        two.newsToStore();
        recordRuns(two, 5, 4000); // while the write was in flight
        two.newsNotStored();
        two.adopt(one.profiles());
        check(profilesFrom(writeNews(two)).at(Compile).calibration.weight() < 95.5);
        check(two.profiles().at(Compile).calibration.weight() > 94.5);
    });
}

// All entries are lost at once; the row is what is left.
Test(run_times, all_entries_lost_and_restarted)
{
    run_times before;
    recordRuns(before, 50, 3000);
    const auto row = writeNews(before);
    run_times after;
    recordRuns(after, 2, 3000); // before the row was read
    after.adopt(profilesFrom(row));
    check(isNear(after.quantileMs(stepOf(), 0.5), 3000));
    check(after.profiles().at(Compile).calibration.weight() > 51.5);
    check(after.hasNews());
}

// Jobs whose estimates are off by half wait for workers together.
Test(run_times, slack_of_jobs_with_wrong_estimates)
{
    constexpr std::int64_t AcceptedMs = 1'000'000;
    job_spec spec;
    spec.steps.resize(2);
    spec.steps[0].count = 4;
    spec.steps[1].after = {0};
    for (auto &step : spec.steps) {
        step.estimateMs = EstimateMs;
        step.image = Compile.image;
    }
    queue_policy policy;
    policy.queue = Compile.queue;
    policy.stretch = 2;
    policy.targetLatencyMs = 1000;
    auto record = newRecord(spec, policy, AcceptedMs);
    run_times times;
    section("nothing was learned: as by the estimates", [&] {
        check(slackMs(record, AcceptedMs, times) == slackMs(record, AcceptedMs));
        check(urgencyOf(record, AcceptedMs + 3001, times) == urgencyOf(record, AcceptedMs + 3001));
    });
    for (int run = 0; run < 50; ++run)
        recordRuns(times, 1, run % 2 == 0 ? 1500 : 2500);
    section("the chain and the objective grow by the same factor", [&] {
        const auto path = remainingPathMs(record, times);
        check(path > 2900 && path < 5100);
        check(std::abs(slackMs(record, AcceptedMs, times) - (path + 1000)) <= 1);
    });
    section("late is what is late at any run time that is likely", [&] {
        using state = job_urgency::deadline_state;
        const auto slack = slackMs(record, AcceptedMs, times);
        check(urgencyOf(record, AcceptedMs + slack + 1, times).deadlineState == state::OnTime);
        check(urgencyOf(record, AcceptedMs + 7500, times).deadlineState == state::Late);
    });
    section("a task that was done in half the estimate shortens its step", [&] {
        const auto before = remainingPathMs(record, times);
        record.tasks[0][0][0].done = true;
        record.tasks[0][0][0].runTimeMs = 500;
        check(remainingPathMs(record, times) < before - 700);
    });
    section("beside best-effort neighbours the objective stays within the estimate", [&] {
        record.tasks[0][0][0].runTimeMs = 0;
        for (auto &step : record.steps)
            step.isBestEffort = true;
        check(slackMs(record, AcceptedMs, times)
              == 2 * 2 * EstimateMs + 1000 - remainingPathMs(record, times));
    });
}
