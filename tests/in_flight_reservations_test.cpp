// Tests how entries that own jobs reserve capacity of the workers for starts in flight. Several
// such owners share the workers. Writes, orders and reports take time, so what each owner knows of
// the workers' free capacity is slightly outdated.
#include <algorithm>
#include <random>
#include <string>

#include <criterion/criterion.h>

#include "jobs/job_controller.h"
#include "saturated_workers.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

constexpr unsigned SeedCount = 10;
constexpr int LongRunningJobCount = 8;
constexpr int TasksPerJob = 2;
constexpr simulated_delays Delays{milliseconds(40), milliseconds(10), milliseconds(10)};
constexpr milliseconds TickInterval{10};

// Counted from the submission of the long-running jobs on.
struct refusal_counts
{
    int submittedShortTasks = 0;
    int refusedOrders = 0;      // orders refused for lack of free capacity
    int refusedLongRunning = 0; // of these, orders for long-running tasks
    int longRunningInProgress = 0;
    int highestLongRunningRunNumber = 0;

    refusal_counts &operator+=(const refusal_counts &other)
    {
        submittedShortTasks += other.submittedShortTasks;
        refusedOrders += other.refusedOrders;
        refusedLongRunning += other.refusedLongRunning;
        longRunningInProgress += other.longRunningInProgress;
        highestLongRunningRunNumber =
                std::max(highestLongRunningRunNumber, other.highestLongRunningRunNumber);
        return *this;
    }
};

std::string longRunningJobName(int number)
{
    return fmt::format("lasting-{}", number);
}

class shared_workers_scenario
{
public:
    // `load` is the share of the workers' processors that short tasks ask for.
    shared_workers_scenario(int owners, double load, unsigned seed)
        : m_owners(owners)
        , m_load(load)
        , m_random(seed)
        , m_simulation(owners, Delays)
    {
        for (int number = 0; number < WorkerCount; ++number)
            m_simulation.addWorker({16 * Cores, 64'000, 0});
        m_simulation.advance(seconds(1));
    }

    refusal_counts simulate()
    {
        advance(seconds(2));
        m_submittedShortTasks = 0;
        const auto logSizeBefore = m_simulation.logEvents().size();
        for (int number = 0; number < LongRunningJobCount; ++number)
            m_simulation.submit(randomOwner(), longRunningJobName(number),
                                longRunningStep(TasksPerJob, 2 * Cores));
        advance(seconds(3));
        refusal_counts counts;
        counts.submittedShortTasks = m_submittedShortTasks;
        for (auto lineIndex = logSizeBefore; lineIndex < m_simulation.logEvents().size();
             ++lineIndex)
            countRefusal(m_simulation.logEvents()[lineIndex], counts);
        for (int number = 0; number < LongRunningJobCount; ++number) {
            counts.longRunningInProgress += m_simulation.countRunning(longRunningJobName(number));
            counts.highestLongRunningRunNumber =
                    std::max(counts.highestLongRunningRunNumber,
                             m_simulation.highestRunNumber(longRunningJobName(number)));
        }
        return counts;
    }

private:
    int randomBetween(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }
    int randomOwner() { return randomBetween(0, m_owners - 1); }

    void advance(milliseconds duration)
    {
        constexpr double ShortTaskSlots = WorkerCount * 16 * 2; // half a core each
        const auto tasksPerTick = m_load * ShortTaskSlots
                                  * static_cast<double>(TickInterval.count())
                                  / static_cast<double>(ShortRunTime.count());
        for (milliseconds elapsed{0}; elapsed < duration; elapsed += TickInterval) {
            for (m_dueShortTasks += tasksPerTick; m_dueShortTasks > 0;)
                submitShortJob();
            m_simulation.advance(TickInterval);
        }
    }

    void submitShortJob()
    {
        const int tasks = randomBetween(1, 10);
        const auto half = static_cast<int>(ShortRunTime.count() / 2);
        m_simulation.submit(randomOwner(), fmt::format("short-{}", m_submittedJobs++),
                            shortStep(tasks), milliseconds(randomBetween(half, 3 * half)));
        m_dueShortTasks -= tasks;
        m_submittedShortTasks += tasks;
    }

    static void countRefusal(const jobs::log_event &line, refusal_counts &counts)
    {
        if (line.event != "order_refused" || !line.detail.ends_with("no_room"))
            return;
        ++counts.refusedOrders;
        counts.refusedLongRunning += line.job.starts_with("lasting") ? 1 : 0;
    }

    int m_owners;
    double m_load;
    std::mt19937 m_random;
    placement_simulation m_simulation;
    double m_dueShortTasks = 0; // short tasks that are still to be submitted
    int m_submittedJobs = 0;
    int m_submittedShortTasks = 0;
};

refusal_counts runSeeds(int owners, double load)
{
    refusal_counts counts;
    for (unsigned seed = 1; seed <= SeedCount; ++seed)
        counts += shared_workers_scenario(owners, load, seed).simulate();
    return counts;
}

constexpr int AllLongRunningTasks = static_cast<int>(SeedCount) * LongRunningJobCount * TasksPerJob;

} // namespace

// Guards against an owner that forgets its starts in flight as soon as the agent, which has not
// received them yet, sends any report.
Test(in_flight_reservations, starts_in_flight_count_until_the_agent_answers)
{
    const auto counts = runSeeds(1, 0.7);
    section("a single owner is never refused", [&] { check(counts.refusedOrders == 0); });
    section("and all long-running tasks run",
            [&] { check(counts.longRunningInProgress == AllLongRunningTasks); });
    section("and each of them in its first run",
            [&] { check(counts.highestLongRunningRunNumber == 1); });
}

// Guards against owners that all choose the same worker and are refused again and again although
// other workers have free capacity.
Test(in_flight_reservations, few_orders_are_refused_while_half_of_the_capacity_is_free)
{
    const auto counts = runSeeds(17, 0.5);
    section("at most one order in twenty is refused", [&] {
        cr_expect(counts.refusedOrders * 20 <= counts.submittedShortTasks, "%d of %d",
                  counts.refusedOrders, counts.submittedShortTasks);
    });
    section("and at most one in five of those for long-running tasks", [&] {
        cr_expect(counts.refusedLongRunning * 5 <= AllLongRunningTasks, "%d of %d",
                  counts.refusedLongRunning, AllLongRunningTasks);
    });
    section("and all long-running tasks run", [&] {
        cr_expect(counts.longRunningInProgress == AllLongRunningTasks, "%d",
                  counts.longRunningInProgress);
    });
}

// Guards against orders for a worker whose agent has just refused one for lack of free capacity.
Test(in_flight_reservations, a_refusal_applies_until_the_next_report)
{
    time_point now{std::chrono::hours(1)};
    jobs::worker_report workerReport;
    workerReport.worker = "w1";
    workerReport.epoch = 1;
    workerReport.service = "tickets";
    workerReport.isAccepting = true;
    workerReport.capacity = {16 * Cores, 64'000, 0};
    jobs::worker_pool pool;
    pool.update(workerReport, now);
    const auto choose = [&](const jobs::step_spec &step) {
        return pool.chooseWorker("tickets", step, {}, now).has_value();
    };
    pool.recordRefusal("w1", longRunningStep(1, 2 * Cores), pool.find("w1")->lastReportAt);

    section("no task of the same or a larger size is placed there", [&] {
        check(!choose(longRunningStep(1, 2 * Cores)));
        check(!choose(longRunningStep(1, 3 * Cores)));
    });
    section("a smaller one may be", [&] { check(choose(longRunningStep(1, Cores))); });
    section("the log shows the refusal", [&] {
        check(pool.describeUnfitWorkers("tickets", longRunningStep(1, 2 * Cores), {}, now)
                      .starts_with("1 refused, "));
    });
    section("the next report ends the refusal", [&] {
        now += milliseconds(10);
        pool.update(workerReport, now);
        check(choose(longRunningStep(1, 2 * Cores)));
    });
    section("a report that arrived before the refusal counts as the next one", [&] {
        pool.recordRefusal("w1", longRunningStep(1, 2 * Cores), now - milliseconds(10));
        check(choose(longRunningStep(1, 2 * Cores)));
    });
}

namespace {

// One owner and one worker: the owner has placed 8 tasks that fill the worker, and their starts are
// in flight.
struct single_worker_fixture
{
    jobs::worker_pool pool;
    jobs::job_controller controller{{"entry-a", 1}, pool};
    time_point now{std::chrono::hours(1)};
    std::vector<jobs::send_order> orders;
    std::vector<std::string> pendingWrites;
    std::int64_t version = 1;

    single_worker_fixture()
    {
        takeReport(report());
        jobs::job_spec spec;
        spec.steps = {shortStep(8)};
        spec.steps[0].isBestEffort = false;
        spec.steps[0].size = {2 * Cores, 100, 0};
        jobs::queue_policy policy;
        policy.service = "tickets";
        controller.submit("job", spec, policy, 1000, now, 1);
        planAndCollect();
        for (const auto &id : std::exchange(pendingWrites, {}))
            controller.rowWritten(id, ++version);
        planAndCollect();
        require(orders.size() == 8);
        require(used() == 16 * Cores);
    }

    static jobs::worker_report report(std::int64_t epoch = 1, std::int64_t agentIncarnation = 5)
    {
        jobs::worker_report agentReport;
        agentReport.worker = "w1";
        agentReport.agentIncarnation = agentIncarnation;
        agentReport.epoch = epoch;
        agentReport.service = "tickets";
        agentReport.isAccepting = true;
        agentReport.capacity = {16 * Cores, 64'000, 0};
        return agentReport;
    }

    // Processes the parts of a report in the same order as an entry.
    void takeReport(const jobs::worker_report &agentReport)
    {
        const bool hasRestarted = pool.update(agentReport, now) && agentReport.epoch > 0;
        for (const auto &end : agentReport.ends)
            controller.runEnded(agentReport.worker, end, now, 1);
        if (hasRestarted)
            controller.workerRestarted(agentReport.worker, agentReport.epoch, now);
        controller.workerReported(agentReport.worker, now);
    }

    void planAndCollect()
    {
        controller.plan(now, 1000);
        for (auto &action : controller.takeActions()) {
            if (auto *order = std::get_if<jobs::send_order>(&action))
                orders.push_back(*order);
            if (auto *write = std::get_if<jobs::write_row>(&action))
                pendingWrites.push_back(write->job);
        }
    }

    std::int64_t used() const { return pool.find("w1")->lastReport.used.millicores; }
};

} // namespace

// Guards against an empty worker that counts as full, because resources stay reserved for runs that
// have ended, or are reserved twice.
Test(in_flight_reservations, starts_no_longer_in_flight_reserve_nothing)
{
    section("a start in flight has its capacity reserved until it is answered", [] {
        single_worker_fixture fixture;
        fixture.takeReport(single_worker_fixture::report());
        check(fixture.used() == 16 * Cores);
    });
    section("a new epoch ends what was placed in the previous one", [] {
        single_worker_fixture fixture;
        fixture.takeReport(single_worker_fixture::report(2));
        check(fixture.used() == 0);
    });
    section("an end that arrives before the answer frees the capacity", [] {
        single_worker_fixture fixture;
        auto agentReport = single_worker_fixture::report();
        for (const auto &order : fixture.orders)
            agentReport.ends.push_back(
                    {1, order.order.task, order.order.run, jobs::end_kind::Done, ""});
        fixture.takeReport(agentReport);
        check(fixture.used() == 0);
    });
    section("a start sent a second ago is in the report or no longer takes effect", [] {
        single_worker_fixture fixture;
        fixture.now += seconds(1);
        auto agentReport = single_worker_fixture::report();
        agentReport.used = {16 * Cores, 800, 0};
        for (int round = 0; round < 3; ++round) {
            fixture.takeReport(agentReport);
            check(fixture.used() == 16 * Cores);
        }
    });
}
