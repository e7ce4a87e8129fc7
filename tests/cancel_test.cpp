// Tests that none of a job's tasks starts or keeps running once the job is cancelled, whatever
// start orders and calls are still in transit. Simulates two entries, the job's row in the store
// and the agents of two workers, on a virtual clock.
#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "jobs/job_controller.h"
#include "jobs/run_table.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

constexpr milliseconds TickDuration{50};
constexpr milliseconds CancelEffectiveWithin{3000}; // after its acknowledgement, at every agent
constexpr milliseconds ObservationTime{12'000};     // longer than any message is in transit
constexpr milliseconds TakeoverAfter{1600};         // after the owner's crash
constexpr milliseconds ReportInterval{1000};
// From the write of a row in the store until the agents, which follow changes of rows, have it.
constexpr milliseconds StoreFollowDelay{300};
constexpr std::int64_t Epoch = 1;
const std::string Job = "j";

// An event in the future, such as the arrival of a message.
struct event
{
    time_point at{};
    std::function<void()> callback;
};

struct worker_model
{
    std::set<std::pair<task_id, int>> running;
    std::map<task_id, int> highestStoppedRun; // runs up to it were stopped or have ended
    std::vector<run_end> ended;
    int startCount = 0;
    time_point lastStartAt{};
};

struct agent_model
{
    run_table table;
    worker_model worker;
    bool isCutOff = false;           // no messages to or from entries
    milliseconds startEffectDelay{}; // delay after the call
    bool answersStarts = true;
    time_point reportAt{};
};

struct entry_model
{
    explicit entry_model(const char *name)
        : self{name, 1}
        , controller(self, workers)
    { }

    owner_id self;
    worker_pool workers;
    job_controller controller;
    bool isAlive = true;
    bool losesOrders = false;     // it crashed before they were sent
    milliseconds writeDelay{50};  // until a write takes effect
    milliseconds orderDelay{50};  // to the agent
    milliseconds answerDelay{50}; // from the agent
    std::vector<std::int64_t> storedTokens;
};

struct cancel_simulation
{
    time_point now{std::chrono::hours(1)};
    std::vector<event> events;
    entry_model owner{"entry-a"};
    entry_model successor{"entry-b"};
    std::map<std::string, agent_model> agents;
    std::optional<std::string> row;
    std::int64_t version = 0;
    std::string payload;
    bool isCancelStored = false;   // in a row that agents read
    bool agentsFollowStore = true; // false: agents can't reach the store
    time_point cancelledAt{};

    cancel_simulation()
    {
        for (const char *name : {"w1", "w2"})
            beginIncarnation(agents[name]);
        reportAllWorkers();
    }

    // Starts a new incarnation of the agent. It reads the stored cancellations before it accepts
    // orders.
    void beginIncarnation(agent_model &agent) const
    {
        agent.table = run_table();
        agent.table.setWorkerState({16'000, 64'000, 0}, start_readiness::Ready);
        agent.table.setEpoch(Epoch);
        if (isCancelStored)
            agent.table.cancelJob(Job, now);
    }

    void reportAllWorkers()
    {
        for (const auto &entry : agents) {
            worker_report report;
            report.worker = entry.first;
            report.epoch = Epoch;
            report.service = "tickets";
            report.isAccepting = true;
            report.capacity = {16'000, 64'000, 0};
            owner.workers.update(report, now);
            successor.workers.update(report, now);
        }
    }

    void submit()
    {
        job_spec spec;
        step_spec step;
        step.count = 3;
        step.size = {500, 100, 0};
        step.estimateMs = 600'000;
        spec.steps = {step};
        queue_policy policy;
        policy.service = "tickets";
        owner.controller.submit(Job, spec, policy, 1000, now, 1);
    }

    void submitAndRun()
    {
        submit();
        run(milliseconds(500));
        check(runningTasks() == 3);
    }

    void schedule(milliseconds span, std::function<void()> callback)
    {
        events.push_back({now + span, std::move(callback)});
    }

    // --- the events of one tick

    void tick()
    {
        now += TickDuration;
        reportAllWorkers();
        auto due = std::exchange(events, {});
        for (auto &one : due) {
            if (one.at <= now)
                one.callback();
            else
                events.push_back(std::move(one));
        }
        for (auto *entry : {&owner, &successor}) {
            if (entry->isAlive)
                runEntry(*entry);
        }
        for (auto &[name, agent] : agents)
            runAgent(name, agent);
    }

    void run(milliseconds span)
    {
        for (const auto until = now + span; now < until;)
            tick();
    }

    void runEntry(entry_model &entry)
    {
        entry.controller.plan(now, 1000);
        for (auto &action : entry.controller.takeActions()) {
            if (const auto *write = std::get_if<write_row>(&action))
                schedule(entry.writeDelay, [this, &entry, sent = *write] { commit(entry, sent); });
            else if (const auto *order = std::get_if<send_order>(&action))
                sendOrder(entry, *order);
            else if (const auto *stored = std::get_if<change_stored>(&action))
                entry.storedTokens.push_back(stored->token);
        }
    }

    void commit(entry_model &entry, const write_row &write)
    {
        const bool versionMatches = write.expectedVersion == (row ? version : 0);
        if (versionMatches) {
            row = write.content;
            ++version;
            if (write.payload)
                payload = *write.payload;
            if (write.writesCancelRow)
                storeCancel();
        }
        if (!entry.isAlive)
            return;
        if (versionMatches)
            entry.controller.rowWritten(Job, version);
        else
            entry.controller.rowConflict(Job, version, row);
    }

    void storeCancel()
    {
        isCancelStored = agentsFollowStore;
        if (!agentsFollowStore)
            return;
        schedule(StoreFollowDelay, [this] {
            for (auto &entry : agents)
                entry.second.table.cancelJob(Job, now);
        });
    }

    void sendOrder(entry_model &entry, const send_order &message)
    {
        schedule(entry.orderDelay, [this, &entry, message] {
            auto &agent = agents.at(message.worker);
            if (agent.isCutOff || entry.losesOrders)
                return noteOrderUnanswered(entry, message);
            const auto answer = agent.table.handleOrder(message.order, entry.self.entry, now);
            schedule(entry.answerDelay, [this, &entry, message, answer] {
                if (entry.isAlive)
                    entry.controller.orderAnswered(message.worker, answer, now, 0);
            });
        });
    }

    void noteOrderUnanswered(entry_model &entry, const send_order &message)
    {
        if (entry.isAlive)
            entry.controller.orderUnanswered(message.worker, message.order.task, message.order.run,
                                             now);
    }

    void runAgent(const std::string &name, agent_model &agent)
    {
        for (const auto &action : agent.table.takeDueActions(now, true)) {
            if (const auto *start = std::get_if<start_run>(&action))
                callStart(agent, *start);
            else
                stopOnWorker(agent, std::get<stop_run>(action));
        }
        run_listing listing;
        listing.clockMs = clockMs();
        for (const auto &[task, number] : agent.worker.running)
            listing.running.push_back({task, number, "", 0});
        listing.ended = agent.worker.ended;
        agent.table.applyListing(listing, now);
        if (!agent.isCutOff)
            report(name, agent);
    }

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    }

    void callStart(agent_model &agent, const start_run &start)
    {
        const auto deadline = clockMs() + 1500;
        agent.table.startCalled(start.task, start.run, deadline);
        schedule(agent.startEffectDelay, [this, &agent, start, deadline] {
            if (clockMs() <= deadline)
                startOnWorker(agent, start);
        });
        if (agent.answersStarts)
            agent.table.startAnswered(start.task, start.run, start_answer::Started, now);
    }

    void startOnWorker(agent_model &agent, const start_run &start)
    {
        auto &worker = agent.worker;
        const std::pair key{start.task, start.run};
        const auto highest = worker.highestStoppedRun.find(start.task);
        const bool isOutdated =
                highest != worker.highestStoppedRun.end() && start.run <= highest->second;
        if (isOutdated || worker.running.contains(key))
            return;
        worker.running.insert(key);
        ++worker.startCount;
        worker.lastStartAt = now;
    }

    static void stopOnWorker(agent_model &agent, const stop_run &stop)
    {
        auto &worker = agent.worker;
        auto &highest = worker.highestStoppedRun[stop.task];
        highest = std::max(highest, stop.run);
        if (worker.running.erase({stop.task, stop.run}) == 0)
            return;
        const auto number = static_cast<std::int64_t>(worker.ended.size()) + 1;
        worker.ended.push_back({number, stop.task, stop.run, end_kind::Stopped, ""});
    }

    void report(const std::string &name, agent_model &agent)
    {
        if (now < agent.reportAt)
            return;
        agent.reportAt = now + ReportInterval;
        for (auto *entry : {&owner, &successor}) {
            if (!entry->isAlive)
                continue;
            for (const auto &end : agent.table.endsFor(entry->self.entry))
                entry->controller.runEnded(name, end, now, 100);
        }
    }

    // --- the caller's actions and checks

    // Cancels the job at its owner and waits for the acknowledgement.
    void cancelAtOwner()
    {
        owner.controller.cancel(Job, 2);
        for (int ticks = 0; ticks < 200 && !isAcknowledged(owner); ++ticks)
            tick();
        require(isAcknowledged(owner));
        cancelledAt = now;
    }

    static bool isAcknowledged(const entry_model &entry)
    {
        return std::find(entry.storedTokens.begin(), entry.storedTokens.end(), 2)
               != entry.storedTokens.end();
    }

    // If the owner can't be reached, any entry writes the cancellation into the row.
    void cancelInRow()
    {
        auto record = recordFrom(*row);
        record.cancelled = true;
        record.writeId = "entry-c:cancel:1";
        row = toText(record);
        ++version;
        storeCancel();
        cancelledAt = now;
    }

    static void crash(entry_model &entry)
    {
        entry.isAlive = false;
        entry.losesOrders = true;
    }

    void setAgentsCutOff(bool areCutOff)
    {
        for (auto &entry : agents)
            entry.second.isCutOff = areCutOff;
    }

    void takeOver()
    {
        if (recordFrom(*row).needsOwner())
            successor.controller.adopt(Job, recordFrom(*row), version, payload);
    }

    int runningTasks() const
    {
        int sum = 0;
        for (const auto &entry : agents)
            sum += static_cast<int>(entry.second.worker.running.size());
        return sum;
    }

    std::string workerOf(const task_id &task) const
    {
        const auto found = std::find_if(agents.begin(), agents.end(), [&](const auto &entry) {
            return entry.second.worker.running.contains({task, 1});
        });
        require(found != agents.end());
        return found->first;
    }

    // After CancelEffectiveWithin no task of the job runs, and none starts.
    void checkCancelEffective()
    {
        run(CancelEffectiveWithin
            - (now - cancelledAt < CancelEffectiveWithin
                       ? std::chrono::duration_cast<milliseconds>(now - cancelledAt)
                       : CancelEffectiveWithin));
        check(runningTasks() == 0);
        run(ObservationTime);
        check(runningTasks() == 0);
        for (const auto &entry : agents)
            check(entry.second.worker.lastStartAt <= cancelledAt + CancelEffectiveWithin);
    }
};

// The events around a cancellation, up to its acknowledgement and right after it.
struct scenario
{
    const char *title;
    bool areEntriesEnough; // the entries stop all tasks even if agents can't read the store
    void (*runEvents)(cancel_simulation &);
};

const scenario Scenarios[] = {
        {"no other events", true,
         [](cancel_simulation &simulation) {
             simulation.submitAndRun();
             simulation.cancelAtOwner();
         }},
        {"the owner crashes right after the acknowledgement", true,
         [](cancel_simulation &simulation) {
             simulation.submitAndRun();
             simulation.cancelAtOwner();
             cancel_simulation::crash(simulation.owner);
             simulation.schedule(TakeoverAfter, [&simulation] { simulation.takeOver(); });
         }},
        {"all entries crash right after the acknowledgement", false,
         [](cancel_simulation &simulation) {
             simulation.submitAndRun();
             simulation.cancelAtOwner();
             cancel_simulation::crash(simulation.owner);
             cancel_simulation::crash(simulation.successor);
         }},
        {"the agents are cut off from all entries", false,
         [](cancel_simulation &simulation) {
             simulation.submitAndRun();
             simulation.setAgentsCutOff(true);
             simulation.cancelAtOwner();
         }},
        {"the agents are cut off from all entries for a second", true,
         [](cancel_simulation &simulation) {
             simulation.submitAndRun();
             simulation.setAgentsCutOff(true);
             simulation.schedule(milliseconds(1200),
                                 [&simulation] { simulation.setAgentsCutOff(false); });
             simulation.cancelAtOwner();
         }},
        {"the owner is unreachable, and its write races with the cancellation", true,
         [](cancel_simulation &simulation) {
             simulation.submitAndRun();
             simulation.owner.writeDelay = milliseconds(400);
             const task_id task{Job, 0, 0, 0};
             simulation.owner.controller.checkpointReported(simulation.workerOf(task),
                                                            {task, 1, "0001"});
             simulation.run(milliseconds(100));
             simulation.cancelInRow();
         }},
        {"the answers to the starts arrive while the cancellation is written", true,
         [](cancel_simulation &simulation) {
             simulation.owner.answerDelay = milliseconds(300);
             simulation.submit();
             simulation.run(milliseconds(250));
             check(simulation.runningTasks() == 3);
             simulation.owner.writeDelay = milliseconds(600);
             simulation.cancelAtOwner();
         }},
        {"the stop orders overtake the start orders", true,
         [](cancel_simulation &simulation) {
             simulation.owner.orderDelay = milliseconds(500);
             simulation.submit();
             simulation.run(milliseconds(200));
             simulation.owner.orderDelay = milliseconds(50);
             simulation.cancelAtOwner();
         }},
        {"start orders of a frozen owner arrive at restarted agents", false,
         [](cancel_simulation &simulation) {
             simulation.owner.orderDelay = milliseconds(5000);
             simulation.submit();
             simulation.run(milliseconds(200));
             simulation.cancelInRow();
             simulation.owner.isAlive = false;
             simulation.takeOver();
             simulation.run(milliseconds(2000));
             for (auto &entry : simulation.agents)
                 simulation.beginIncarnation(entry.second);
         }},
        {"the cancellation arrives during the first write of the row", true,
         [](cancel_simulation &simulation) {
             simulation.owner.writeDelay = milliseconds(400);
             simulation.submit();
             simulation.run(milliseconds(100));
             simulation.cancelAtOwner();
             check(simulation.runningTasks() == 0); // cancelled before the first start was due
         }},
        {"the cancellation is written into the row during a takeover", true,
         [](cancel_simulation &simulation) {
             simulation.submitAndRun();
             simulation.owner.isAlive = false;
             simulation.successor.writeDelay = milliseconds(400);
             simulation.takeOver();
             simulation.run(milliseconds(100));
             simulation.cancelInRow();
             simulation.schedule(milliseconds(800), [&simulation] { simulation.takeOver(); });
         }},
        {"start calls are unanswered and take effect late", true,
         [](cancel_simulation &simulation) {
             for (auto &entry : simulation.agents) {
                 entry.second.startEffectDelay = milliseconds(1400);
                 entry.second.answersStarts = false;
             }
             simulation.submit();
             simulation.run(milliseconds(200));
             simulation.cancelAtOwner();
         }},
};

} // namespace

// Guards against tasks that start or keep running after the caller was told that the job is
// cancelled. Orders, answers and calls in transit, restarts and takeovers could cause it. Entries
// stop the tasks by orders, and agents by themselves when they read the cancellation in the store.
// The second test simulates agents that can't read the store, in the scenarios where the entries
// are enough.
Test(cancel, is_effective_at_every_agent)
{
    for (const auto &current : Scenarios) {
        section(current.title, [&] {
            cancel_simulation simulation;
            current.runEvents(simulation);
            simulation.checkCancelEffective();
        });
    }
}

Test(cancel, is_effective_through_entries_alone)
{
    for (const auto &current : Scenarios) {
        if (!current.areEntriesEnough)
            continue;
        section(current.title, [&] {
            cancel_simulation simulation;
            simulation.agentsFollowStore = false;
            current.runEvents(simulation);
            simulation.checkCancelEffective();
        });
    }
}

// Guards against a run that uses capacity for ever. An agent has accepted a start but not yet
// called its worker, and the job is cancelled. No list of the worker will ever contain the run, so
// the agent has to end it by itself.
Test(cancel, a_start_that_was_never_called_uses_no_capacity)
{
    cancel_simulation simulation;
    auto &table = simulation.agents.at("w1").table;
    run_order order;
    order.task = {Job, 0, 0, 0};
    order.run = 1;
    order.epoch = Epoch;
    order.requirements.size = {1000, 100, 0};
    check(table.handleOrder(order, "entry-a", simulation.now).outcome == order_outcome::Accepted);
    check(table.used().millicores == 1000);
    table.cancelJob(Job, simulation.now);
    table.applyListing({}, simulation.now);
    check(table.used().millicores == 0);
    check(table.takeDueActions(simulation.now, true).empty());
    const auto ends = table.endsFor("entry-a");
    require(ends.size() == 1);
    check(ends[0].endKind == end_kind::NeverStarted);
}
