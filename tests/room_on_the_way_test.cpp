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
constexpr int LastingJobs = 8;
constexpr int TasksOfEach = 2;
constexpr world_delays Delays{milliseconds(40), milliseconds(10), milliseconds(10)};
constexpr milliseconds Turn{10};

// What happened from when the jobs that last came.
struct told_by_notes
{
    int placed = 0;         // short tasks handed in
    int refused = 0;        // orders, for want of room
    int refusedLasting = 0; // of these of tasks that last
    int lastingAtWork = 0;
    int highestLastingRun = 0;

    told_by_notes &operator+=(const told_by_notes &other)
    {
        placed += other.placed;
        refused += other.refused;
        refusedLasting += other.refusedLasting;
        lastingAtWork += other.lastingAtWork;
        highestLastingRun = std::max(highestLastingRun, other.highestLastingRun);
        return *this;
    }
};

std::string lastingJob(int number)
{
    return fmt::format("lasting-{}", number);
}

class many_owners
{
public:
    // `load`: the share of the workers' processors that short tasks ask for.
    many_owners(int owners, double load, unsigned seed)
        : m_owners(owners)
        , m_load(load)
        , m_random(seed)
        , m_world(owners, Delays)
    {
        for (int number = 0; number < Workers; ++number)
            m_world.addWorker({16 * Cores, 64'000, 0});
        m_world.advance(seconds(1));
    }

    told_by_notes play()
    {
        advance(seconds(2));
        m_handedIn = 0;
        const auto notesBefore = m_world.notes().size();
        for (int number = 0; number < LastingJobs; ++number)
            m_world.submit(anyOwner(), lastingJob(number), lastingStep(TasksOfEach, 2 * Cores));
        advance(seconds(3));
        told_by_notes told;
        told.placed = m_handedIn;
        for (auto at = notesBefore; at < m_world.notes().size(); ++at)
            count(m_world.notes()[at], told);
        for (int number = 0; number < LastingJobs; ++number) {
            told.lastingAtWork += m_world.atWork(lastingJob(number));
            told.highestLastingRun =
                    std::max(told.highestLastingRun, m_world.highestRun(lastingJob(number)));
        }
        return told;
    }

private:
    int between(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }
    int anyOwner() { return between(0, m_owners - 1); }

    void advance(milliseconds time)
    {
        constexpr double Places = Workers * 16 * 2; // for short tasks, half a core each
        const auto perTurn = m_load * Places * static_cast<double>(Turn.count())
                             / static_cast<double>(ShortRun.count());
        for (milliseconds passed{0}; passed < time; passed += Turn) {
            for (m_owed += perTurn; m_owed > 0;)
                handIn();
            m_world.advance(Turn);
        }
    }

    void handIn()
    {
        const int tasks = between(1, 10);
        const auto half = static_cast<int>(ShortRun.count() / 2);
        m_world.submit(anyOwner(), fmt::format("short-{}", m_jobs++), shortStep(tasks),
                       milliseconds(between(half, 3 * half)));
        m_owed -= tasks;
        m_handedIn += tasks;
    }

    static void count(const jobs::noted &line, told_by_notes &told)
    {
        if (line.event != "order_refused" || !line.detail.ends_with("no_room"))
            return;
        ++told.refused;
        told.refusedLasting += line.job.starts_with("lasting") ? 1 : 0;
    }

    int m_owners;
    double m_load;
    std::mt19937 m_random;
    placement_world m_world;
    double m_owed = 0; // short tasks
    int m_jobs = 0;
    int m_handedIn = 0;
};

told_by_notes playOf(int owners, double load)
{
    told_by_notes told;
    for (unsigned seed = 1; seed <= Seeds; ++seed)
        told += many_owners(owners, load, seed).play();
    return told;
}

constexpr int AllLasting = static_cast<int>(Seeds) * LastingJobs * TasksOfEach;

} // namespace

// Guards against an owner that forgets what it has placed and its agent has not heard of yet as
// soon as that agent reports anything.
Test(room_on_the_way, what_an_owner_has_placed_counts_until_its_agent_answers)
{
    const auto told = playOf(1, 0.7);
    section("the only owner is never refused", [&] { check(told.refused == 0); });
    section("and all that lasts is at work", [&] { check(told.lastingAtWork == AllLasting); });
    section("with its first run", [&] { check(told.highestLastingRun == 1); });
}

// Guards against owners that all take the same worker, and are refused again and again though
// others have room.
Test(room_on_the_way, owners_seldom_meet_while_half_of_the_room_is_free)
{
    const auto told = playOf(17, 0.5);
    section("one order in twenty is refused at most", [&] {
        cr_expect(told.refused * 20 <= told.placed, "%d of %d", told.refused, told.placed);
    });
    section("one in five of those of tasks that last", [&] {
        cr_expect(told.refusedLasting * 5 <= AllLasting, "%d of %d", told.refusedLasting,
                  AllLasting);
    });
    section("and all that lasts is at work",
            [&] { cr_expect(told.lastingAtWork == AllLasting, "%d", told.lastingAtWork); });
}

// Guards against orders for a worker that has just said to have no room.
Test(room_on_the_way, a_refusal_holds_until_the_next_report)
{
    time_point now{std::chrono::hours(1)};
    jobs::worker_report report;
    report.worker = "w1";
    report.epoch = 1;
    report.service = "tickets";
    report.isAccepting = true;
    report.capacity = {16 * Cores, 64'000, 0};
    jobs::worker_pool pool;
    pool.update(report, now);
    const auto choose = [&](const jobs::step_spec &step) {
        return pool.choose("tickets", step, {}, now).has_value();
    };
    pool.noteNoRoom("w1", lastingStep(1, 2 * Cores), pool.find("w1")->heardAt);

    section("neither for the same size nor for a larger one", [&] {
        check(!choose(lastingStep(1, 2 * Cores)));
        check(!choose(lastingStep(1, 3 * Cores)));
    });
    section("a smaller one may fit", [&] { check(choose(lastingStep(1, Cores))); });
    section("the log tells it", [&] {
        check(pool.whyNobody("tickets", lastingStep(1, 2 * Cores), {}, now)
                      .starts_with("1 refused, "));
    });
    section("the next report is newer", [&] {
        now += milliseconds(10);
        pool.update(report, now);
        check(choose(lastingStep(1, 2 * Cores)));
    });
    section("so is one that has overtaken the refusal", [&] {
        pool.noteNoRoom("w1", lastingStep(1, 2 * Cores), now - milliseconds(10));
        check(choose(lastingStep(1, 2 * Cores)));
    });
}

namespace {

// One owner and one worker, by hand.
struct one_worker
{
    jobs::worker_pool pool;
    jobs::job_book book{{"entry-a", 1}, pool};
    time_point now{std::chrono::hours(1)};
    std::vector<jobs::give_order> orders;
    std::vector<std::string> unwritten;
    std::int64_t version = 1;

    one_worker()
    {
        takeReport(report());
        jobs::job_spec spec;
        spec.steps = {shortStep(8)};
        spec.steps[0].fills = false;
        spec.steps[0].size = {2 * Cores, 100, 0};
        jobs::queue_policy policy;
        policy.service = "tickets";
        book.submit("job", spec, policy, 1000, now, 1);
        turn();
        for (const auto &id : std::exchange(unwritten, {}))
            book.rowWritten(id, ++version);
        turn();
        require(orders.size() == 8);
        require(used() == 16 * Cores);
    }

    static jobs::worker_report report(std::int64_t epoch = 1, std::int64_t agentLife = 5)
    {
        jobs::worker_report told;
        told.worker = "w1";
        told.agentIncarnation = agentLife;
        told.epoch = epoch;
        told.service = "tickets";
        told.isAccepting = true;
        told.capacity = {16 * Cores, 64'000, 0};
        return told;
    }

    // In the order in which an entry takes it.
    void takeReport(const jobs::worker_report &told)
    {
        const bool livesAnew = pool.update(told, now) && told.epoch > 0;
        for (const auto &end : told.ends)
            book.runEnded(told.worker, end, now, 1);
        if (livesAnew)
            book.workerRenewed(told.worker, told.epoch, now);
        book.workerTold(told.worker, now);
    }

    void turn()
    {
        book.plan(now, 1000);
        for (auto &action : book.takeActions()) {
            if (auto *order = std::get_if<jobs::give_order>(&action))
                orders.push_back(*order);
            if (auto *write = std::get_if<jobs::write_row>(&action))
                unwritten.push_back(write->job);
        }
    }

    std::int64_t used() const { return pool.find("w1")->last.used.millicores; }
};

} // namespace

// Guards against an empty worker that counts as full: of what has ended, or is counted twice.
Test(room_on_the_way, what_no_longer_is_on_its_way_takes_no_room)
{
    section("until it is answered it does", [] {
        one_worker on;
        on.takeReport(one_worker::report());
        check(on.used() == 16 * Cores);
    });
    section("a new epoch has ended what was placed by the old one", [] {
        one_worker on;
        on.takeReport(one_worker::report(2));
        check(on.used() == 0);
    });
    section("so does an end that comes before the answer", [] {
        one_worker on;
        auto told = one_worker::report();
        for (const auto &order : on.orders)
            told.ends.push_back({1, order.order.task, order.order.run, jobs::end_kind::Done, ""});
        on.takeReport(told);
        check(on.used() == 0);
    });
    section("given long ago, it is in the report or starts no more", [] {
        one_worker on;
        on.now += seconds(1);
        auto told = one_worker::report();
        told.used = {16 * Cores, 800, 0};
        for (int round = 0; round < 3; ++round) {
            on.takeReport(told);
            check(on.used() == 16 * Cores);
        }
    });
}
