// Owners that share workers: writes, orders and reports take their time, so that what each knows of
// the room is a little old.
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

constexpr unsigned Seeds = 10;
constexpr int LongRunningJobCount = 8;
constexpr int TasksPerJob = 2;
constexpr simulated_delays Delays{milliseconds(40), milliseconds(10), milliseconds(10)};
constexpr milliseconds TickInterval{10};

// What happened from when the jobs that last came.
struct refusal_counts
{
    int submittedShortTasks = 0; // short tasks handed in
    int refusedOrders = 0;       // orders, for want of room
    int refusedLongRunning = 0;  // of these of tasks that last
    int runningLongRunning = 0;
    int highestLongRunningRun = 0;

    refusal_counts &operator+=(const refusal_counts &other)
    {
        submittedShortTasks += other.submittedShortTasks;
        refusedOrders += other.refusedOrders;
        refusedLongRunning += other.refusedLongRunning;
        runningLongRunning += other.runningLongRunning;
        highestLongRunningRun = std::max(highestLongRunningRun, other.highestLongRunningRun);
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
    // `load`: the share of the workers' processors that short tasks ask for.
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
        const auto notesBefore = m_simulation.logEvents().size();
        for (int number = 0; number < LongRunningJobCount; ++number)
            m_simulation.submit(anyOwner(), longRunningJobName(number),
                                longRunningStep(TasksPerJob, 2 * Cores));
        advance(seconds(3));
        refusal_counts counts;
        counts.submittedShortTasks = m_submittedShortTasks;
        for (auto at = notesBefore; at < m_simulation.logEvents().size(); ++at)
            count(m_simulation.logEvents()[at], counts);
        for (int number = 0; number < LongRunningJobCount; ++number) {
            counts.runningLongRunning += m_simulation.countRunning(longRunningJobName(number));
            counts.highestLongRunningRun =
                    std::max(counts.highestLongRunningRun,
                             m_simulation.highestRun(longRunningJobName(number)));
        }
        return counts;
    }

private:
    int between(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }
    int anyOwner() { return between(0, m_owners - 1); }

    void advance(milliseconds duration)
    {
        constexpr double ShortTaskSlots = WorkerCount * 16 * 2; // for short tasks, half a core each
        const auto perTurn = m_load * ShortTaskSlots * static_cast<double>(TickInterval.count())
                             / static_cast<double>(ShortRunTime.count());
        for (milliseconds passed{0}; passed < duration; passed += TickInterval) {
            for (m_dueShortTasks += perTurn; m_dueShortTasks > 0;)
                submitShortJob();
            m_simulation.advance(TickInterval);
        }
    }

    void submitShortJob()
    {
        const int tasks = between(1, 10);
        const auto half = static_cast<int>(ShortRunTime.count() / 2);
        m_simulation.submit(anyOwner(), fmt::format("short-{}", m_submittedJobs++),
                            shortStep(tasks), milliseconds(between(half, 3 * half)));
        m_dueShortTasks -= tasks;
        m_submittedShortTasks += tasks;
    }

    static void count(const jobs::log_event &line, refusal_counts &counts)
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
    double m_dueShortTasks = 0; // short tasks
    int m_submittedJobs = 0;
    int m_submittedShortTasks = 0;
};

refusal_counts runSeeds(int owners, double load)
{
    refusal_counts counts;
    for (unsigned seed = 1; seed <= Seeds; ++seed)
        counts += shared_workers_scenario(owners, load, seed).simulate();
    return counts;
}

constexpr int AllLongRunningTasks = static_cast<int>(Seeds) * LongRunningJobCount * TasksPerJob;

} // namespace

// Guards against an owner that forgets what it has placed and its agent has not heard of yet as
// soon as that agent reports anything.
Test(room_on_the_way, what_an_owner_has_placed_counts_until_its_agent_answers)
{
    const auto counts = runSeeds(1, 0.7);
    section("the only owner is never refused", [&] { check(counts.refusedOrders == 0); });
    section("and all that lasts is at work",
            [&] { check(counts.runningLongRunning == AllLongRunningTasks); });
    section("with its first run", [&] { check(counts.highestLongRunningRun == 1); });
}

// Guards against owners that all take the same worker, and are refused again and again though
// others have room.
Test(room_on_the_way, owners_seldom_meet_while_half_of_the_room_is_free)
{
    const auto counts = runSeeds(17, 0.5);
    section("one order in twenty is refused at most", [&] {
        cr_expect(counts.refusedOrders * 20 <= counts.submittedShortTasks, "%d of %d",
                  counts.refusedOrders, counts.submittedShortTasks);
    });
    section("one in five of those of tasks that last", [&] {
        cr_expect(counts.refusedLongRunning * 5 <= AllLongRunningTasks, "%d of %d",
                  counts.refusedLongRunning, AllLongRunningTasks);
    });
    section("and all that lasts is at work", [&] {
        cr_expect(counts.runningLongRunning == AllLongRunningTasks, "%d",
                  counts.runningLongRunning);
    });
}

// Guards against orders for a worker that has just said to have no room.
Test(room_on_the_way, a_refusal_holds_until_the_next_report)
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

    section("neither for the same size nor for a larger one", [&] {
        check(!choose(longRunningStep(1, 2 * Cores)));
        check(!choose(longRunningStep(1, 3 * Cores)));
    });
    section("a smaller one may fit", [&] { check(choose(longRunningStep(1, Cores))); });
    section("the log tells it", [&] {
        check(pool.describeUnfitWorkers("tickets", longRunningStep(1, 2 * Cores), {}, now)
                      .starts_with("1 refused, "));
    });
    section("the next report is newer", [&] {
        now += milliseconds(10);
        pool.update(workerReport, now);
        check(choose(longRunningStep(1, 2 * Cores)));
    });
    section("so is one that has overtaken the refusal", [&] {
        pool.recordRefusal("w1", longRunningStep(1, 2 * Cores), now - milliseconds(10));
        check(choose(longRunningStep(1, 2 * Cores)));
    });
}

namespace {

// One owner and one worker, by hand.
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
        jobs::worker_report counts;
        counts.worker = "w1";
        counts.agentIncarnation = agentIncarnation;
        counts.epoch = epoch;
        counts.service = "tickets";
        counts.isAccepting = true;
        counts.capacity = {16 * Cores, 64'000, 0};
        return counts;
    }

    // In the order in which an entry takes it.
    void takeReport(const jobs::worker_report &counts)
    {
        const bool hasRestarted = pool.update(counts, now) && counts.epoch > 0;
        for (const auto &end : counts.ends)
            controller.runEnded(counts.worker, end, now, 1);
        if (hasRestarted)
            controller.workerRestarted(counts.worker, counts.epoch, now);
        controller.workerReported(counts.worker, now);
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

// Guards against an empty worker that counts as full: of what has ended, or is counted twice.
Test(room_on_the_way, what_no_longer_is_on_its_way_takes_no_room)
{
    section("until it is answered it does", [] {
        single_worker_fixture fixture;
        fixture.takeReport(single_worker_fixture::report());
        check(fixture.used() == 16 * Cores);
    });
    section("a new epoch has ended what was placed by the old one", [] {
        single_worker_fixture fixture;
        fixture.takeReport(single_worker_fixture::report(2));
        check(fixture.used() == 0);
    });
    section("so does an end that comes before the answer", [] {
        single_worker_fixture fixture;
        auto counts = single_worker_fixture::report();
        for (const auto &order : fixture.orders)
            counts.ends.push_back({1, order.order.task, order.order.run, jobs::end_kind::Done, ""});
        fixture.takeReport(counts);
        check(fixture.used() == 0);
    });
    section("given long ago, it is in the report or starts no more", [] {
        single_worker_fixture fixture;
        fixture.now += seconds(1);
        auto counts = single_worker_fixture::report();
        counts.used = {16 * Cores, 800, 0};
        for (int round = 0; round < 3; ++round) {
            fixture.takeReport(counts);
            check(fixture.used() == 16 * Cores);
        }
    });
}
