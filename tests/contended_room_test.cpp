// Tests which workers short tasks are placed on while several entries place tasks and long-running
// tasks leave little room.
#include <random>

#include <criterion/criterion.h>
#include <fmt/core.h>

#include "saturated_workers.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

constexpr unsigned SeedCount = 5;
constexpr int Owners = 4;
constexpr int Workers = 24;
constexpr simulated_delays Delays{milliseconds(20), milliseconds(5), milliseconds(5)};

struct contention
{
    int submittedTasks = 0;
    int refusedOrders = 0; // for lack of room
    int runningTasks = 0;  // at the end
};

// Long-running tasks reserve from 13 to 15 of the 16 cores of half of the workers, and best-effort
// tasks use 14 cores of each of the others. Jobs of 1 to 10 short tasks ask for `load` of the cores
// that are not reserved.
class contended_workers
{
public:
    contended_workers(double load, unsigned seed, bool weighsRoom)
        : m_load(load)
        , m_random(seed)
        , m_simulation(Owners, Delays, settingsWith(weighsRoom))
    {
        m_simulation.assignHomes();
        for (int number = 0; number < Workers; ++number)
            m_simulation.addWorker({16 * Cores, 64'000, 0});
        m_simulation.advance(seconds(1));
        for (int number = 0; number < Workers / 2; ++number)
            m_simulation.submit(randomBetween(0, Owners - 1), fmt::format("lasting-{}", number),
                                longRunningStep(1, randomBetween(13, 15) * Cores));
        m_simulation.advance(seconds(1));
        for (int number = 0; number < Workers / 2; ++number)
            m_simulation.submit(randomBetween(0, Owners - 1), fmt::format("idle-{}", number),
                                bestEffortStep(), std::chrono::hours(1));
        m_simulation.advance(seconds(1));
    }

    void simulate(milliseconds duration, contention &counts)
    {
        const auto linesBefore = m_simulation.logEvents().size();
        constexpr auto Tick = placement_simulation::TickInterval;
        for (milliseconds elapsed{0}; elapsed < duration; elapsed += Tick) {
            for (m_dueTasks += tasksPerTick(); m_dueTasks > 0;)
                counts.submittedTasks += submitJob();
            m_simulation.advance(Tick);
        }
        for (auto line = linesBefore; line < m_simulation.logEvents().size(); ++line) {
            const auto &event = m_simulation.logEvents()[line];
            counts.refusedOrders +=
                    event.event == "order_refused" && event.detail.ends_with("no_room") ? 1 : 0;
        }
        for (int job = 0; job < m_jobs; ++job)
            counts.runningTasks += m_simulation.countRunning(fmt::format("short-{}", job));
    }

private:
    static jobs::controller_settings settingsWith(bool weighsRoom)
    {
        jobs::controller_settings settings;
        settings.features.weighsRoom = weighsRoom;
        return settings;
    }
    static jobs::step_spec bestEffortStep()
    {
        jobs::step_spec step;
        step.size = {14 * Cores, 1000, 0};
        step.isBestEffort = true;
        step.estimateMs = 3'600'000;
        return step;
    }
    int randomBetween(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(m_random);
    }
    double tasksPerTick() const
    {
        constexpr double FreeCores = Workers * (16 + 2) / 2.0;
        constexpr double Places = FreeCores * 2; // half a core each
        return m_load * Places * static_cast<double>(placement_simulation::TickInterval.count())
               / static_cast<double>(ShortRunTime.count());
    }
    int submitJob()
    {
        const int tasks = randomBetween(1, 10);
        m_simulation.submit(randomBetween(0, Owners - 1), fmt::format("short-{}", m_jobs++),
                            shortStep(tasks), milliseconds(randomBetween(320, 960)));
        m_dueTasks -= tasks;
        return tasks;
    }

    double m_load;
    std::mt19937 m_random;
    placement_simulation m_simulation;
    double m_dueTasks = 0;
    int m_jobs = 0;
};

contention runSeeds(double load, bool weighsRoom)
{
    contention counts;
    for (unsigned seed = 1; seed <= SeedCount; ++seed)
        contended_workers(load, seed, weighsRoom).simulate(seconds(3), counts);
    return counts;
}

} // namespace

// Load: short jobs at four entries ask for nearly all places that long-running tasks leave. Each
// place that comes free was ordered by all entries with waiting tasks.
Test(contended_room, entries_do_not_take_the_last_places_from_each_other)
{
    const auto before = runSeeds(0.95, false);
    const auto after = runSeeds(0.95, true);
    section("at most a quarter as many orders are refused", [&] {
        cr_expect(after.refusedOrders * 4 <= before.refusedOrders, "%d of %d", after.refusedOrders,
                  before.refusedOrders);
    });
    section("and as many tasks run, to a twentieth", [&] {
        cr_expect(after.runningTasks * 20 >= before.runningTasks * 19, "%d of %d",
                  after.runningTasks, before.runningTasks);
    });
}

// Load: the same with room to spare, where leaving places to others could only make tasks wait.
Test(contended_room, with_room_to_spare_nothing_waits_for_a_home)
{
    const auto before = runSeeds(0.6, false);
    const auto after = runSeeds(0.6, true);
    check(after.refusedOrders * 50 <= after.submittedTasks);
    check(after.runningTasks * 100 >= before.runningTasks * 99);
}
