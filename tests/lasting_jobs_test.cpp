// Jobs that last among jobs that end: how large ones get their workers, and what an operator is
// told of those that lack something.
#include <criterion/criterion.h>

#include "placement_world.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using namespace zinniabarrow::tests;

namespace {

constexpr std::int64_t Cores = 1000; // millicores

step_spec lastingStep(int count, std::int64_t millicores)
{
    step_spec step;
    step.count = count;
    step.size = {millicores, 1000, 0};
    step.lasting = true;
    step.estimateMs = 500;
    return step;
}

step_spec shortStep(int count)
{
    step_spec step;
    step.count = count;
    step.size = {Cores / 2, 500, 0};
    step.estimateMs = 640;
    return step;
}

constexpr int Workers = 8;
constexpr int Owners = 3;
constexpr milliseconds ShortRun{640};

// Of each worker's 16 cores tasks that last have 10; jobs of short tasks ask for more than the
// rest.
struct busy_site
{
    placement_world world{Owners};
    int handedIn = 0;

    busy_site()
    {
        for (int number = 0; number < Workers; ++number)
            world.addWorker({16 * Cores, 64'000, 0});
        world.advance(milliseconds(1000));
        world.submit(0, "small-services", lastingStep(4 * Workers, 2500));
        advance(milliseconds(4000));
        require(world.atWork("small-services") == 4 * Workers);
    }

    // Short tasks for 1.5 times of the 6 cores that each worker has left.
    void advance(milliseconds time)
    {
        constexpr milliseconds Every{40};
        for (milliseconds passed{0}; passed < time; passed += Every) {
            world.submit(handedIn % Owners, fmt::format("short-{}", handedIn), shortStep(9),
                         ShortRun);
            ++handedIn;
            world.advance(Every);
        }
    }
};

// The rules' bound for a task that lasts, with room for it twice over.
constexpr milliseconds PlacedWithin{3000};

} // namespace

// Operators see that callers of one service get less than others and can't tell whether its tasks
// wait for room, for which, and in whose way, or are late where they run.
Test(lasting_jobs, the_log_says_what_a_job_lacks)
{
    const auto linesOf = [](const busy_site &on, const std::string &event, const std::string &job) {
        std::vector<std::string> lines;
        for (const auto &line : on.world.notes()) {
            if (line.event == event && line.job == job)
                lines.push_back(line.detail);
        }
        return lines;
    };
    busy_site on;
    section("nothing of one that is served in full", [&] {
        on.advance(seconds(3));
        const auto before = linesOf(on, "job_underserved", "small-services").size();
        on.advance(seconds(5));
        check(linesOf(on, "job_underserved", "small-services").size() == before);
    });
    on.world.submit(0, "too-large", lastingStep(2, 7 * Cores));
    on.advance(seconds(10));
    section("tasks that have no worker, each two seconds", [&] {
        const auto lines = linesOf(on, "job_underserved", "too-large");
        check(lines.size() >= 4 && lines.size() <= 5);
        require(!lines.empty());
        check(lines.back() == "2 tasks that last, 0 placed, 0 of 0 with a target at work, 0 late");
    });
    section("the resource that is short, and that no end of a short task would help", [&] {
        const auto lines = linesOf(on, "tasks_unplaced", "too-large");
        require(!lines.empty());
        check(lines.back().ends_with(": 8 no_processors, 0 with room beside what lasts"));
    });
}

// Guards against large tasks that last and never get a worker: each gap that opens is too small for
// them, and goes to the next short task.
Test(lasting_jobs, large_tasks_get_room_among_small_ones)
{
    busy_site on;
    on.world.submit(0, "large-service", lastingStep(6, 4 * Cores));
    on.advance(PlacedWithin);
    cr_expect(on.world.atWork("large-service") == 6, "%d of 6 tasks at work",
              on.world.atWork("large-service"));
}

// Guards against room that is kept where it can't come free in time, while another worker has it.
Test(lasting_jobs, a_task_that_waits_in_vain_goes_elsewhere)
{
    placement_world world(2);
    for (int number = 0; number < 2; ++number)
        world.addWorker({16 * Cores, 64'000, 0});
    world.advance(seconds(1));
    auto longStep = shortStep(2);
    longStep.size.millicores = 14 * Cores;
    world.submit(0, "long-a", longStep, seconds(60));
    world.submit(0, "service", lastingStep(2, 4 * Cores));
    world.advance(seconds(5));
    check(world.atWork("service") == 0);
    section("with a worker that joins both tasks are at work in time", [&] {
        world.addWorker({16 * Cores, 64'000, 0});
        world.advance(PlacedWithin);
        check(world.atWork("service") == 2);
    });
}

// Guards against jobs of less priority that take the room from those that come first.
Test(lasting_jobs, less_priority_keeps_no_room)
{
    busy_site on;
    constexpr int Last = 2;
    on.world.submit(0, "large-service", lastingStep(6, 4 * Cores), {}, Last);
    on.advance(PlacedWithin);
    check(on.world.atWork("large-service") == 0);
}

// Guards against room that stays lost to short tasks after the job for which it was kept is gone.
Test(lasting_jobs, room_of_a_cancelled_job_is_given_back)
{
    busy_site on;
    const auto shortTasks = [&] {
        int count = 0;
        for (int number = 0; number < on.handedIn; ++number)
            count += on.world.atWork(fmt::format("short-{}", number));
        return count;
    };
    on.advance(seconds(2));
    const int before = shortTasks();
    on.world.submit(0, "large-service", lastingStep(6, 5 * Cores));
    on.advance(milliseconds(200));
    on.world.cancel(0, "large-service");
    on.advance(seconds(2));
    check(on.world.atWork("large-service") == 0);
    check(shortTasks() >= before - 2); // of 96
}
