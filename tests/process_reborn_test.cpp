// Tests of workers that crash and are restarted under their old ids: real processes, links between
// all of them, and the stand-in of the platform.
#include <array>
#include <atomic>
#include <string>
#include <thread>

#include <fmt/core.h>

#include "soak/links.h"
#include "soak/plan.h"
#include "soak/system.h"
#include "soak/timeline.h"

// Defines the macros check and require, so it comes last.
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::soak;
using standins::restart_notice;
using standins::waitUntil;
using tests::section;
using tests::WaitLimit;

namespace {

constexpr milliseconds DownTime{200};          // of the crashed worker
constexpr milliseconds TaskTime{600'000};      // longer than the test
constexpr std::string_view ShortJobs = "feed"; // their names begin with it
constexpr milliseconds ShortTaskTime{20};      // shorter than the agent's pause between two polls

system_options systemOptions()
{
    system_options options;
    options.entries = 2;
    options.agents = 2;
    options.hasLinks = true;
    // A worker has room for one task.
    options.describeTask = [](const jobs::task_id &task) {
        if (task.job.starts_with(ShortJobs))
            return standins::task_shape{.millicores = 100, .workTime = ShortTaskTime};
        return standins::task_shape{.millicores = 3000, .workTime = TaskTime};
    };
    options.onRun = [](const standins::run_notice &) {};
    options.onLapse = [](std::size_t) {};
    return options;
}

// Two machines, each with an agent and its worker, and two entries.
class two_machines
{
public:
    two_machines()
        : m_system(systemOptions(), m_record)
    {
        for (const auto &name : m_system.processNames())
            m_system.start(name);
        require(waitUntil([&] { return m_system.areEntriesReady(); }, WaitLimit));
    }

    standins::job_platform &platform() { return m_system.platform(); }

    // Submits a job of one task. Returns the index of the worker on which it has started.
    std::size_t start(const std::string &job)
    {
        const std::array runsBefore{runsOn(0), runsOn(1)};
        require(callUntilDone("POST", job,
                              R"({"spec":"seat","steps":[{"count":1,"cpu":3000,"mem-mb":100,)"
                              R"("estimate-ms":600000}]})"));
        const auto hasStartedOn = [&](std::size_t worker) {
            return runsOn(worker) > runsBefore.at(worker);
        };
        require(waitUntil([&] { return hasStartedOn(0) || hasStartedOn(1); }, WaitLimit));
        return hasStartedOn(0) ? 0 : 1;
    }

    // Submits a job of short tasks once; it may be refused, or get no answer.
    void trySubmitShort(const std::string &job)
    {
        call("POST", job,
             fmt::format(R"({{"spec":"seat","steps":[{{"count":4,"cpu":100,"mem-mb":50,)"
                         R"("estimate-ms":{}}}]}})",
                         ShortTaskTime.count()));
    }

    void cancel(const std::string &job) { require(callUntilDone("DELETE", job, "")); }

    int runsOn(std::size_t worker) { return platform().countRunsOn(worker); }
    bool waitForRunsOn(std::size_t worker, int count)
    {
        return waitUntil([&] { return runsOn(worker) == count; }, WaitLimit);
    }

    // The agent still reaches its worker, but no entry and not the store, and no entry reaches it.
    void cutOffMachine(std::size_t worker, link_fault_kind kind)
    {
        const auto agent = agentName(static_cast<int>(worker));
        for (const std::string target : {"store", "entry-0", "entry-1"})
            m_system.links().apply({kind, agent, target});
        m_system.links().apply({kind, AnyCaller, agent});
    }

    void reconnect() { m_system.links().endAll(); }

    void checkNoNewViolations()
    {
        const auto violations = platform().violations();
        for (; m_violationsSeen < violations.size(); ++m_violationsSeen)
            cr_expect_fail("%s: %s", tests::sectionName().c_str(),
                           violations[m_violationsSeen].c_str());
    }

private:
    bool call(const std::string &method, const std::string &job, const std::string &body)
    {
        http_request request;
        request.method = method;
        request.target = "/holds/" + job;
        request.body = body;
        const auto answer =
                tests::callAddress(m_system.callersAddresses().front(), request, seconds(4));
        return answer && answer->status == 200;
    }

    bool callUntilDone(const std::string &method, const std::string &job, const std::string &body)
    {
        return waitUntil([&] { return call(method, job, body); }, WaitLimit);
    }

    timeline m_record;
    soak_system m_system;
    std::size_t m_violationsSeen = 0;
};

struct round_of_test
{
    int number = 0;
    std::size_t worker = 0; // that runs the task
    link_fault_kind linkFault = link_fault_kind::Silent;

    std::size_t otherWorker() const { return 1 - worker; }
    std::string fillerJob() const { return fmt::format("bead00000000001{}", number); }
};

void crashAndRestart(two_machines &system, const round_of_test &round)
{
    section("one worker runs the task, the other one is full",
            [&] { require(system.start(round.fillerJob()) == round.otherWorker()); });
    section("the worker crashes and is back, and the task starts there again", [&] {
        system.platform().crashWorker(round.worker);
        require(system.waitForRunsOn(round.worker, 0));
        std::this_thread::sleep_for(DownTime);
        system.platform().restartWorker(round.worker, restart_notice::ByPollFirst);
        require(system.waitForRunsOn(round.worker, 1));
    });
}

void cutOffAndReconnect(two_machines &system, const round_of_test &round)
{
    const auto startsBefore = system.platform().startCount();
    section("its machine is cut off, and the other one gets room", [&] {
        system.cutOffMachine(round.worker, round.linkFault);
        system.cancel(round.fillerJob());
    });
    section("the task starts elsewhere, but not beside its run", [&] {
        const auto hasStarted = [&] { return system.platform().startCount() > startsBefore; };
        require(waitUntil(hasStarted, WaitLimit));
        check(system.runsOn(round.otherWorker()) == 1);
        system.checkNoNewViolations();
    });
    section("the machine is back, and its run has ended", [&] {
        system.reconnect();
        require(system.waitForRunsOn(round.worker, 0));
        system.checkNoNewViolations();
    });
}

} // namespace

// Guards against a task that is at work on two live workers. Its worker crashes and is back under
// its old id; the agent's next poll carries a deadline on the former incarnation's clock, so the
// new one lets runs go on for as long as it ever does. The task starts there again, the machine is
// cut off, and its lease in the store ends earlier than the run.
Test(process_reborn, machine_cut_off_after_its_worker_was_restarted)
{
    constexpr std::array LinkFaults{link_fault_kind::Silent, link_fault_kind::Cut,
                                    link_fault_kind::Silent};
    two_machines system;
    round_of_test round;
    round.worker = system.start("bead000000000001");
    for (const auto linkFault : LinkFaults) {
        round.linkFault = linkFault;
        ++round.number;
        section(fmt::format("round {}", round.number), [&] {
            crashAndRestart(system, round);
            cutOffAndReconnect(system, round);
        });
        round.worker = round.otherWorker();
    }
}

// Guards against a task that runs again after it was done. Its worker crashes and is back under its
// id; until the agent knows, the new incarnation takes starts, and the agent's next poll
// acknowledges ends by the former incarnation's numbers: ends that it has not listed yet.
Test(process_reborn, short_tasks_while_their_workers_restart)
{
    constexpr int Rounds = 16;
    constexpr int Callers = 6;
    constexpr milliseconds SubmitInterval{20};
    constexpr milliseconds RoundTime{1000};
    // The worker is back between two polls of its agent, at different times before the next one.
    constexpr std::array DownTimes{milliseconds(160), milliseconds(180), DownTime,
                                   milliseconds(220)};
    two_machines system;
    std::atomic<bool> isOver = false;
    std::vector<std::jthread> callers;
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            for (int number = 0; !isOver; ++number) {
                system.trySubmitShort(fmt::format("{}{}{:011d}", ShortJobs, caller, number));
                std::this_thread::sleep_for(SubmitInterval);
            }
        });
    }
    for (int round = 0; round < Rounds; ++round) {
        section(fmt::format("round {}", round), [&] {
            const auto worker = static_cast<std::size_t>(round) % 2;
            const int doneBefore = system.platform().doneCount();
            require(waitUntil([&] { return system.platform().doneCount() > doneBefore + 20; },
                              WaitLimit));
            system.platform().crashWorker(worker);
            std::this_thread::sleep_for(DownTimes.at(round / 2 % DownTimes.size()));
            system.platform().restartWorker(worker, restart_notice::ByPollFirst);
            std::this_thread::sleep_for(RoundTime);
            system.checkNoNewViolations();
        });
    }
    isOver = true;
    callers.clear();
    system.checkNoNewViolations();
}
