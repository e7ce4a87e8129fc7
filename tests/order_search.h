// A seeded sequence of events in the simulated cluster: faults, delays and losses are drawn from
// the seed. At each start of a run the rule against duplicate work is checked: no two runs of a
// task at the same time, and no start of a task that is done. A search for stalled tasks adds
// long-running tasks and more kinds of faults, and ends all faults before it checks for stalls. A
// search for held room does the same with tasks that compete for the workers' capacity. A search
// with copies has jobs that permit copies of their tasks and workers that turn slow, and ends all
// faults before it checks that each job has ended. A search with gangs has few faults, and checks
// that no member waits in vain for one that has no run. A search with restarts reboots workers
// whose machines are then cut off, and lets them take calls that were sent to their earlier
// incarnations.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/core.h>

#include "base/random.h"
#include "cluster_simulation.h"
#include "held_room_checker.h"
#include "stall_checker.h"

namespace zinniabarrow::tests {

// Faults that a search injects at random.
enum class fault {
    None,
    EntryKilled,
    EntryCutOff,
    EntryFrozen,
    EntryShutdown,
    AgentKilled,
    AgentCutOff,
    AgentCutOffFromEntriesAndStore,
    StoreStopped,
    StartsRejected, // the worker answers all starts with 429 for a while
    StartRefused,   // the worker answers its next start with 409
    CapacityReduced,
    // Not in a search for duplicate runs:
    AgentFrozen,
    EntryFrozenOnCommit,
    LinkCut,
    WorkerDrained,
    WorkerRebooted,
    // Only in a search with copies:
    WorkerSlowed,
};
constexpr std::size_t BasicFaultKindCount = 12; // None to CapacityReduced
constexpr std::size_t StallFaultKindCount = 17; // None to WorkerRebooted
constexpr std::size_t FaultKindCount = 18;      // all

// What a search looks for. HeldRoom: long-running tasks that wait beside free capacity.
enum class search_kind {
    DuplicateRuns,
    StalledTasks,
    HeldRoom,
    Copies,
    SlowStops,
    Gangs,
    Restarts
};

// What one search has seen.
struct search_result
{
    std::vector<std::string> violations;
    std::vector<std::string> trace; // empty unless it was asked for
    int startCount = 0;             // runs that have started
    int copyCount = 0;              // those that started beside another run of their task
    int aloneCount = 0;             // members of gangs that waited in vain for the others
    std::size_t finishedJobCount = 0;
};

// Runs one seed. The same seed always gives the same sequence. Call run() once.
class order_search
{
public:
    order_search(std::uint64_t seed, bool keepsTrace, search_kind kind = search_kind::DuplicateRuns)
        : m_kind(kind)
        , m_random(seed)
        , m_simulation(
                  EntryCount, static_cast<int>(workerCountOf(kind)),
                  [this](const auto &task, int) { return drawRun(task); },
                  [this](delivery_kind what) { return drawDelivery(what); }, keepsTrace,
                  kind == search_kind::DuplicateRuns ? model_kind::Basic : model_kind::Complete,
                  settingsOf(kind, seed), kind == search_kind::Copies ? CopiesMaxAttempts : 50)
    {
        const auto kinds = faultKindsOf(kind);
        for (std::size_t index = 0; index < kinds; ++index)
            m_weights[index] = randomBetween(0, 3);
        m_delaysOrders = randomBetween(0, 1) == 1;
        m_simulation.addToTrace("orders are {}delayed by seconds", m_delaysOrders ? "" : "not ");
        if (m_kind == search_kind::HeldRoom)
            m_maxShortTasks = randomBetween(0, 2) * randomBetween(1, 6);
        if (m_kind == search_kind::SlowStops || m_kind == search_kind::Gangs)
            m_simulation.slowStops(randomSpan(600, 890), drawChance(20));
        if (m_kind == search_kind::Restarts)
            m_simulation.letCallsOutliveReboots();
    }

    search_result run()
    {
        for (int job = 0; job < JobCount; ++job) {
            m_simulation.schedule(milliseconds(1500 + job * randomBetween(100, 500)),
                                  [this, job] { submitShort(fmt::format("j{}", job)); });
        }
        if (m_kind == search_kind::StalledTasks || m_kind == search_kind::HeldRoom)
            submitLongRunning();
        if (m_kind == search_kind::Gangs)
            scheduleRestarts();
        else
            scheduleFaults();
        for (milliseconds elapsed{};
             elapsed < FaultPeriod && m_simulation.runChecker().violations().empty();
             elapsed += FaultInterval)
            m_simulation.run(FaultInterval);
        if (m_kind == search_kind::StalledTasks)
            checkForStalls();
        if (m_kind == search_kind::HeldRoom)
            checkForHeldRoom();
        if (m_kind == search_kind::Copies || m_kind == search_kind::Gangs)
            checkForUnfinishedJobs();
        const auto &checker = m_simulation.runChecker();
        return {violations(),
                m_simulation.trace(),
                checker.startCount(),
                checker.copyCount(),
                m_simulation.gangChecker().aloneCount(),
                m_simulation.finishedJobCount()};
    }

private:
    static std::size_t workerCountOf(search_kind kind)
    {
        return kind == search_kind::Copies ? 6 : 3; // copies need workers that are not in doubt
    }

    static std::size_t faultKindsOf(search_kind kind)
    {
        if (kind == search_kind::DuplicateRuns || kind == search_kind::Restarts)
            return BasicFaultKindCount;
        return kind == search_kind::Copies ? FaultKindCount : StallFaultKindCount;
    }

    // In a search with copies, each other seed has all optional decisions: they act on the same
    // tasks and workers.
    static jobs::controller_settings settingsOf(search_kind kind, std::uint64_t seed)
    {
        jobs::controller_settings settings;
        if (kind != search_kind::Copies)
            return settings;
        const bool hasAll = seed % 2 == 1;
        settings.features = {hasAll, hasAll, hasAll, true, hasAll, hasAll};
        return settings;
    }

    // Ends all faults, and then checks that each job that was accepted has ended, and for cause.
    void checkForUnfinishedJobs()
    {
        m_areFaultsOver = true;
        m_simulation.clearFaults();
        m_simulation.run(MaxFreeze + milliseconds(20'000));
        for (const auto &[id, row] : m_simulation.rows()) {
            if (!row.record)
                continue;
            if (!jobs::isFinal(row.record->state()))
                m_unfinishedJobs.push_back(fmt::format("{} has not ended", id));
            else if (row.record->failed && !hasFailedTask(*row.record))
                m_unfinishedJobs.push_back(fmt::format("{} has failed without cause", id));
            else if (row.record->needsOwner())
                m_unfinishedJobs.push_back(fmt::format("{} still has runs", id));
        }
    }

    static bool hasFailedTask(const jobs::job_record &record)
    {
        for (const auto &step : record.tasks.at(0)) {
            for (const auto &task : step) {
                if (!task.done && task.failures >= CopiesMaxAttempts)
                    return true;
            }
        }
        return false;
    }

    std::vector<std::string> violations() const
    {
        auto found = m_simulation.runChecker().violations();
        const auto &stalls = m_stallChecker.violations();
        found.insert(found.end(), stalls.begin(), stalls.end());
        const auto &gangs = m_simulation.gangChecker().violations();
        found.insert(found.end(), gangs.begin(), gangs.end());
        const auto &heldRoom = m_heldRoomChecker.violations();
        found.insert(found.end(), heldRoom.begin(), heldRoom.end());
        found.insert(found.end(), m_unfinishedJobs.begin(), m_unfinishedJobs.end());
        return found;
    }

    void submitLongRunning()
    {
        for (int job = 0; job < LongRunningJobCount; ++job) {
            m_simulation.schedule(milliseconds(1500 + job * randomBetween(100, 2000)),
                                  [this, job] { submitLongRunning(job); });
        }
    }

    void submitLongRunning(int job)
    {
        m_simulation.submit(longRunningJobName(job), m_kind == search_kind::HeldRoom
                                                             ? drawLargeLongRunningJob()
                                                             : longRunningJob());
    }

    void submitShort(const std::string &name)
    {
        if (m_kind == search_kind::Copies)
            return submitCopyable(name);
        if (m_kind == search_kind::SlowStops)
            return submitGang(name);
        if (m_kind == search_kind::Gangs)
            return submitWholeGang(name);
        m_simulation.submit(name, m_kind == search_kind::HeldRoom ? drawShortJob() : shortJob());
    }

    // Together these jobs ask for more than the workers have, and a third are cancelled.
    void submitGang(const std::string &name)
    {
        auto spec = shortJob();
        for (auto &step : spec.steps) {
            step.isGang = drawChance(50);
            step.count = randomBetween(2, 6);
            step.size.millicores = 1000 * randomBetween(2, 6);
            step.maxPerWorker = drawChance(30) ? 2 : 0;
        }
        m_simulation.submit(name, spec);
        if (drawChance(40))
            m_simulation.schedule(randomSpan(10, drawChance(50) ? 250 : 1500),
                                  [this, name] { m_simulation.cancel(name); });
    }

    // One gang after another; workers know its size by the name of its job.
    void submitWholeGang(const std::string &name)
    {
        auto spec = shortJob();
        for (auto &step : spec.steps) {
            step.isGang = true;
            step.count = gangSizeOf(name);
            step.size.millicores = 1000 * randomBetween(1, 3);
            step.maxPerWorker = drawChance(70) ? 1 : 2;
        }
        m_simulation.submit(name, spec);
    }

    static int gangSizeOf(const std::string &job) { return 2 + static_cast<int>(job.back()) % 2; }

    // Some of these jobs are cancelled, some while a task has two runs.
    void submitCopyable(const std::string &name)
    {
        auto spec = shortJob();
        for (auto &step : spec.steps) {
            step.isSpeculative = drawChance(80);
            step.count = randomBetween(1, 5);
            step.maxPerWorker = randomBetween(0, 2);
        }
        m_simulation.submit(name, spec);
        if (drawChance(10))
            m_simulation.schedule(randomSpan(100, 3000),
                                  [this, name] { m_simulation.cancel(name); });
    }

    static std::string longRunningJobName(int job) { return fmt::format("lasts{}", job); }

    static jobs::job_spec longRunningJob()
    {
        auto spec = shortJob();
        spec.steps.resize(1);
        spec.steps[0].count = 2;
        spec.steps[0].isLongRunning = true;
        return spec;
    }

    // All jobs of this kind together ask for about as much as the workers have.
    jobs::job_spec drawLargeLongRunningJob()
    {
        constexpr std::array<std::int64_t, 4> Sizes{1000, 2000, 4000, 7000}; // millicores
        auto spec = longRunningJob();
        spec.steps[0].count = randomBetween(1, 3);
        spec.steps[0].size.millicores = Sizes.at(drawIndex(m_random, Sizes.size()));
        spec.steps[0].maxPerWorker = randomBetween(0, 1);
        return spec;
    }

    jobs::job_spec drawShortJob()
    {
        auto spec = shortJob();
        spec.steps[0].count = 1 + m_maxShortTasks * randomBetween(1, 3);
        spec.steps[0].size.millicores = 500 * randomBetween(1, 4);
        return spec;
    }

    // Ends all faults. Then jobs are still submitted and cancelled, so that capacity becomes free
    // and is asked for while the check is made.
    void checkForHeldRoom()
    {
        constexpr milliseconds ObserveInterval{50};
        constexpr milliseconds ObservationTime{18'000};
        m_areFaultsOver = true;
        m_simulation.clearFaults();
        m_simulation.run(MaxFreeze);
        m_simulation.addToTrace("all freezes are over");
        scheduleDemand(0);
        for (milliseconds elapsed{}; elapsed < ObservationTime; elapsed += ObserveInterval) {
            m_simulation.run(ObserveInterval);
            m_heldRoomChecker.observe(m_simulation);
        }
    }

    void scheduleDemand(int round)
    {
        m_simulation.schedule(DemandInterval, [this, round] {
            if (drawChance(50))
                submitShort(fmt::format("late-j{}", round));
            if (drawChance(10))
                submitLongRunning(LongRunningJobCount + round);
            if (drawChance(10))
                m_simulation.cancel(longRunningJobName(randomBetween(0, LongRunningJobCount - 1)));
            scheduleDemand(round + 1);
        });
    }

    // Checks for stalls 10 s after the last freeze is over, and again 4 s later.
    void checkForStalls()
    {
        m_areFaultsOver = true;
        m_simulation.clearFaults();
        runAndObserve(MaxFreeze);
        m_simulation.addToTrace("all freezes are over");
        runAndObserve(milliseconds(10'000));
        m_stallChecker.check(m_simulation);
        runAndObserve(milliseconds(4000));
        m_stallChecker.check(m_simulation);
    }

    void runAndObserve(milliseconds span)
    {
        constexpr milliseconds ObserveInterval{50};
        for (milliseconds elapsed{}; elapsed < span; elapsed += ObserveInterval) {
            m_simulation.run(ObserveInterval);
            m_stallChecker.observe(m_simulation);
        }
    }

    static constexpr int LongRunningJobCount = 6;
    static constexpr milliseconds MaxFreeze{5000};
    static constexpr milliseconds DemandInterval{400};
    static constexpr int EntryCount = 3;
    static constexpr int CopiesMaxAttempts = 3;
    static constexpr int JobCount = 40;
    static constexpr milliseconds FaultPeriod{25'000};
    static constexpr milliseconds FaultInterval{250};
    static constexpr milliseconds RestartInterval{4500}; // longer than a gang waits for its members

    int randomBetween(int lowest, int highest)
    {
        return lowest
               + static_cast<int>(
                       drawIndex(m_random, static_cast<std::size_t>(highest - lowest + 1)));
    }
    bool drawChance(int percent) { return randomBetween(1, 100) <= percent; }
    milliseconds randomSpan(int lowest, int highest)
    {
        return milliseconds(randomBetween(lowest, highest));
    }

    run_plan drawRun(const jobs::task_id &task)
    {
        if (task.job.starts_with("lasts"))
            return drawLongRunningRun();
        if (m_kind == search_kind::Copies)
            return drawCopyableRun(task);
        const auto endKind = drawChance(90) ? jobs::end_kind::Done : jobs::end_kind::Failed;
        if (m_kind == search_kind::Restarts && drawChance(30))
            return {randomSpan(3000, 9000), endKind};
        const auto gangSize = m_kind == search_kind::Gangs ? gangSizeOf(task.job) : 0;
        return {randomSpan(100, 900), endKind, gangSize};
    }

    // Tasks of a job take about as long, a few of its runs much longer; a few tasks mostly fail.
    run_plan drawCopyableRun(const jobs::task_id &task)
    {
        const bool mostlyFails = task.job.ends_with("7") && task.index == 0;
        const auto endKind =
                drawChance(mostlyFails ? 70 : 4) ? jobs::end_kind::Failed : jobs::end_kind::Done;
        const auto typicalMs = 200 + 100 * static_cast<int>(task.job.size() % 5);
        return {drawChance(10) ? randomSpan(1000, 3000) : randomSpan(typicalMs, typicalMs + 200),
                endKind};
    }

    run_plan drawLongRunningRun()
    {
        if (m_areFaultsOver)
            return {milliseconds(60'000), jobs::end_kind::Done};
        const auto endKind = drawChance(50) ? jobs::end_kind::Done : jobs::end_kind::Failed;
        return {randomSpan(300, 15'000), endKind};
    }

    static jobs::job_spec shortJob()
    {
        jobs::job_spec spec;
        spec.payload = "payload";
        jobs::step_spec first;
        first.count = 3;
        first.size = {500, 100, 0};
        first.estimateMs = 600;
        auto second = first;
        second.count = 2;
        second.after = {0};
        spec.steps = {first, second};
        return spec;
    }

    // The chance, in per cent, that a message is lost or slow, and how slow it is.
    struct delivery_odds
    {
        int lostPercent = 0;
        int slowPercent = 0;
        int maxSlowDelayMs = 0;
        int longDelayPercent = 0; // chance of a delay of 1 to 6 s
    };

    delivery_odds oddsOf(delivery_kind what) const
    {
        if (m_kind == search_kind::Gangs) // a lost stop would let members wait for cause
            return {0, 10, 100, 0};
        switch (what) {
        case delivery_kind::Order:
            return {3, 10, 700, m_delaysOrders ? 2 : 0};
        case delivery_kind::OrderAnswer:
            return {5, 10, 300, 0};
        case delivery_kind::Report:
            return {3, 10, 800, 0};
        case delivery_kind::ReportAnswer:
            return {3, 10, 300, 0};
        case delivery_kind::Start:
            return {2, 12, 1400, 0};
        case delivery_kind::StartAnswer:
            return {m_kind == search_kind::SlowStops ? 30 : 4, 5, 300, 0};
        case delivery_kind::Stop:
            return {3, 10, 300, 0};
        case delivery_kind::Poll:
            return {3, 5, 100, 0};
        case delivery_kind::PollCall:
            return {2, 6, 2500, 0};
        case delivery_kind::Write:
            return {5, 10, 200, 0};
        case delivery_kind::WriteAnswer:
            return {8, 10, 100, 0};
        case delivery_kind::Feed:
            return {0, 50, 60, 0};
        case delivery_kind::Thaw:
            return {0, 50, 20, 0};
        }
        return {};
    }

    delivery drawDelivery(delivery_kind what)
    {
        const auto odds = oddsOf(what);
        if (drawChance(odds.lostPercent))
            return {milliseconds(0), true};
        if (drawChance(odds.longDelayPercent))
            return {randomSpan(1000, 6000), false};
        if (drawChance(odds.slowPercent))
            return {randomSpan(10, odds.maxSlowDelayMs), false};
        return {randomSpan(1, 4), false};
    }

    void scheduleFaults()
    {
        m_simulation.schedule(FaultInterval, [this] {
            if (m_areFaultsOver)
                return;
            if (m_simulation.now() >= m_startTime + milliseconds(1000)) {
                restartProcesses();
                if (m_kind != search_kind::Restarts || drawChance(10))
                    injectFault(drawFault());
                if (m_kind == search_kind::Restarts && drawChance(6))
                    rebootAndCutOff();
            }
            scheduleFaults();
        });
    }

    // The agent learns of the reboot at once or late, and its machine is cut off, or the agent
    // restarts, at about the same time.
    void rebootAndCutOff()
    {
        const auto index = drawIndex(m_random, workerCountOf(m_kind));
        auto &agent = m_simulation.agent(index);
        m_simulation.reboot(m_simulation.worker(index));
        if (drawChance(50))
            m_simulation.losePolls(agent, randomSpan(50, 1500));
        if (drawChance(60)) {
            m_simulation.schedule(randomSpan(1, 900), [this, &agent] {
                m_simulation.cutOffFromEntriesAndStore(agent, randomSpan(6000, 11'000));
            });
        }
        if (drawChance(20))
            m_simulation.schedule(randomSpan(1, 900), [this, &agent] { restartAgent(agent); });
    }

    // Now and then a few processes restart at about the same time; all else is well.
    void scheduleRestarts()
    {
        m_simulation.schedule(RestartInterval, [this] {
            if (m_areFaultsOver)
                return;
            startDeadEntries();
            for (int restarts = randomBetween(1, 3); restarts > 0; --restarts)
                m_simulation.schedule(randomSpan(1, 700), [this] { restartSomething(); });
            scheduleRestarts();
        });
    }

    void restartSomething()
    {
        if (m_areFaultsOver)
            return;
        const auto kind = randomBetween(1, 100);
        if (kind <= 40)
            return restartAgent(randomAgent());
        if (kind <= 60)
            return m_simulation.reboot(randomWorker());
        if (kind <= 80)
            return m_simulation.rejectStarts(randomWorker(), randomSpan(200, 1500));
        kind <= 92 ? m_simulation.beginShutdown(randomEntry()) : m_simulation.kill(randomEntry());
    }

    void startDeadEntries()
    {
        for (std::size_t index = 0; index < EntryCount; ++index) {
            if (!m_simulation.entry(index).isAlive)
                m_simulation.startEntry(m_simulation.entry(index));
        }
    }

    void restartAgent(simulated_agent &agent)
    {
        m_simulation.kill(agent);
        m_simulation.schedule(randomSpan(50, 500), [this, &agent] {
            if (!agent.isAlive)
                m_simulation.startAgent(agent);
        });
    }

    fault drawFault()
    {
        int totalWeight = 0;
        for (const auto weight : m_weights)
            totalWeight += weight;
        auto remaining = randomBetween(0, totalWeight);
        for (std::size_t index = 0; index < FaultKindCount; ++index) {
            remaining -= m_weights[index];
            if (remaining < 0)
                return static_cast<fault>(index);
        }
        return fault::None;
    }

    void restartProcesses()
    {
        for (std::size_t entryIndex = 0; entryIndex < EntryCount; ++entryIndex) {
            if (!m_simulation.entry(entryIndex).isAlive && drawChance(20))
                m_simulation.startEntry(m_simulation.entry(entryIndex));
        }
        for (std::size_t agentIndex = 0; agentIndex < workerCountOf(m_kind); ++agentIndex) {
            if (!m_simulation.agent(agentIndex).isAlive && drawChance(25))
                m_simulation.startAgent(m_simulation.agent(agentIndex));
        }
    }

    simulated_entry &randomEntry() { return m_simulation.entry(drawIndex(m_random, EntryCount)); }
    simulated_agent &randomAgent()
    {
        return m_simulation.agent(drawIndex(m_random, workerCountOf(m_kind)));
    }
    simulated_worker &randomWorker()
    {
        return m_simulation.worker(drawIndex(m_random, workerCountOf(m_kind)));
    }

    void injectFault(fault what)
    {
        switch (what) {
        case fault::None:
            return;
        case fault::EntryKilled:
            return m_simulation.kill(randomEntry());
        case fault::EntryCutOff:
            return m_simulation.cutOff(randomEntry(), randomSpan(200, 4000));
        case fault::EntryFrozen:
            return m_simulation.freeze(randomEntry(), randomSpan(200, 5000));
        case fault::EntryShutdown:
            return m_simulation.beginShutdown(randomEntry());
        case fault::AgentKilled:
            return m_simulation.kill(randomAgent());
        case fault::AgentCutOff:
            return m_simulation.cutOff(randomAgent(), randomSpan(200, 4000));
        case fault::AgentCutOffFromEntriesAndStore:
            return m_simulation.cutOffFromEntriesAndStore(randomAgent(), randomSpan(4000, 9000));
        case fault::StoreStopped:
            return m_simulation.stopStore(randomSpan(100, 4000));
        case fault::StartsRejected:
            return m_simulation.rejectStarts(randomWorker(), randomSpan(200, 4000));
        case fault::StartRefused:
            return randomWorker().refuseNextStart();
        case fault::CapacityReduced:
            return reduceCapacity();
        case fault::AgentFrozen:
            return m_simulation.freeze(randomAgent(), randomSpan(200, 5000));
        case fault::EntryFrozenOnCommit:
            return m_simulation.freezeOnCommit(randomEntry(), randomSpan(200, 5000));
        case fault::LinkCut:
            return m_simulation.cutOffLink(randomAgent(), randomEntry(), randomSpan(200, 5000));
        case fault::WorkerDrained:
            return m_simulation.drainAndReboot(randomWorker(), randomSpan(200, 3000),
                                               randomSpan(200, 3000));
        case fault::WorkerRebooted:
            return m_simulation.reboot(randomWorker());
        case fault::WorkerSlowed:
            return m_simulation.slowDown(randomWorker(), randomSpan(1000, 6000),
                                         randomBetween(3, 8));
        }
    }

    void reduceCapacity()
    {
        auto &agent = randomAgent();
        agent.capacity = {1000, 1000, 0};
        m_simulation.schedule(randomSpan(200, 3000), [&agent] {
            agent.capacity = {16'000, 64'000, 0};
        });
    }

    search_kind m_kind;
    random_generator m_random;
    cluster_simulation m_simulation;
    stall_checker m_stallChecker;
    held_room_checker m_heldRoomChecker;
    std::vector<std::string> m_unfinishedJobs;
    bool m_areFaultsOver = false;
    time_point m_startTime{m_simulation.now()};
    std::array<int, FaultKindCount> m_weights{}; // by fault; drawn, so each seed has its own mix
    // Whether some orders are delayed by seconds, and may arrive after the agent's incarnation
    // ended.
    bool m_delaysOrders = false;
    int m_maxShortTasks = 0; // scales the first step of short jobs in a search for held room
};

} // namespace zinniabarrow::tests
