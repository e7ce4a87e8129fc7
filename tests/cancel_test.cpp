// A cancelled job starts nothing any more, wherever a start of it can still come from: two entries,
// the store's row between them, and the agents of two workers, on a virtual clock.
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

constexpr milliseconds Turn{50};
constexpr milliseconds HoldsWithin{3000}; // an acknowledged cancel, at every agent
constexpr milliseconds Watched{12'000};   // longer than anything that is on its way
constexpr milliseconds TakeoverAfter{1600};
constexpr milliseconds ReportEvery{1000};
constexpr milliseconds FollowTakes{300}; // from a row of the store to the agents that follow it
constexpr std::int64_t Epoch = 1;
const std::string Job = "j";

// Something on its way.
struct event
{
    time_point at{};
    std::function<void()> happen;
};

struct worker_model
{
    std::set<std::pair<task_id, int>> running;
    std::map<task_id, int> highest; // run that was stopped or ended
    std::vector<run_end> ended;
    int starts = 0;
    time_point lastStart{};
};

struct agent_model
{
    run_table table;
    worker_model worker;
    bool cutOff = false;             // from all entries
    milliseconds startTakesEffect{}; // after the call
    bool startsAreAnswered = true;
    time_point reportAt{};
};

struct entry_model
{
    explicit entry_model(const char *name)
        : self{name, 1}
        , book(self, workers)
    { }

    owner_id self;
    worker_pool workers;
    job_book book;
    bool lives = true;
    bool ordersLost = false;      // it died before they were sent
    milliseconds writeTakes{50};  // until a write takes effect
    milliseconds orderTakes{50};  // to the agent
    milliseconds answerTakes{50}; // and back
    std::vector<std::int64_t> storedTokens;
};

struct scene
{
    time_point now{std::chrono::hours(1)};
    std::vector<event> events;
    entry_model first{"entry-a"};
    entry_model second{"entry-b"};
    std::map<std::string, agent_model> agents;
    std::optional<std::string> row;
    std::int64_t version = 0;
    std::string payload;
    bool cancelStored = false; // the row that agents follow,
    bool agentsFollow = true;  // if they reach the store
    time_point cancelledAt{};

    scene()
    {
        for (const char *name : {"w1", "w2"})
            begin(agents[name]);
        hear();
    }

    // A life of the agent: it reads the cancels before it accepts anything.
    void begin(agent_model &agent) const
    {
        agent.table = run_table();
        agent.table.setWorker({16'000, 64'000, 0}, start_readiness::Open);
        agent.table.setEpoch(Epoch);
        if (cancelStored)
            agent.table.cancelled(Job, now);
    }

    void hear()
    {
        for (const auto &entry : agents) {
            worker_report report;
            report.worker = entry.first;
            report.epoch = Epoch;
            report.service = "tickets";
            report.accepting = true;
            report.capacity = {16'000, 64'000, 0};
            first.workers.update(report, now);
            second.workers.update(report, now);
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
        first.book.submit(Job, spec, policy, 1000, now, 1);
    }

    void submitAndRun()
    {
        submit();
        run(milliseconds(500));
        check(runningTasks() == 3);
    }

    void after(milliseconds span, std::function<void()> happen)
    {
        events.push_back({now + span, std::move(happen)});
    }

    // --- what happens in one turn

    void turn()
    {
        now += Turn;
        hear();
        auto due = std::exchange(events, {});
        for (auto &one : due) {
            if (one.at <= now)
                one.happen();
            else
                events.push_back(std::move(one));
        }
        for (auto *entry : {&first, &second}) {
            if (entry->lives)
                pump(*entry);
        }
        for (auto &[name, agent] : agents)
            act(name, agent);
    }

    void run(milliseconds span)
    {
        for (const auto until = now + span; now < until;)
            turn();
    }

    void pump(entry_model &entry)
    {
        entry.book.plan(now, 1000);
        for (auto &action : entry.book.takeActions()) {
            if (const auto *write = std::get_if<write_row>(&action))
                after(entry.writeTakes, [this, &entry, out = *write] { commit(entry, out); });
            else if (const auto *order = std::get_if<give_order>(&action))
                send(entry, *order);
            else if (const auto *done = std::get_if<stored>(&action))
                entry.storedTokens.push_back(done->token);
        }
    }

    void commit(entry_model &entry, const write_row &write)
    {
        const bool holds = write.expectedVersion == (row ? version : 0);
        if (holds) {
            row = write.content;
            ++version;
            if (write.payload)
                payload = *write.payload;
            if (write.cancels)
                storeCancel();
        }
        if (!entry.lives)
            return;
        if (holds)
            entry.book.rowWritten(Job, version);
        else
            entry.book.rowConflict(Job, version, row);
    }

    void storeCancel()
    {
        cancelStored = agentsFollow;
        if (!agentsFollow)
            return;
        after(FollowTakes, [this] {
            for (auto &entry : agents)
                entry.second.table.cancelled(Job, now);
        });
    }

    void send(entry_model &entry, const give_order &given)
    {
        after(entry.orderTakes, [this, &entry, given] {
            auto &agent = agents.at(given.worker);
            if (agent.cutOff || entry.ordersLost)
                return unanswered(entry, given);
            const auto answer = agent.table.take(given.order, entry.self.entry, now);
            after(entry.answerTakes, [this, &entry, given, answer] {
                if (entry.lives)
                    entry.book.orderAnswered(given.worker, answer, now, 0);
            });
        });
    }

    void unanswered(entry_model &entry, const give_order &given)
    {
        if (entry.lives)
            entry.book.orderUnanswered(given.worker, given.order.task, given.order.run, now);
    }

    void act(const std::string &name, agent_model &agent)
    {
        for (const auto &action : agent.table.due(now, true)) {
            if (const auto *start = std::get_if<start_run>(&action))
                call(agent, *start);
            else
                stopAt(agent, std::get<stop_run>(action));
        }
        run_listing seen;
        seen.clockMs = clockMs();
        for (const auto &[task, number] : agent.worker.running)
            seen.running.push_back({task, number, "", 0});
        seen.ended = agent.worker.ended;
        agent.table.look(seen, now);
        if (!agent.cutOff)
            report(name, agent);
    }

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    }

    void call(agent_model &agent, const start_run &start)
    {
        const auto deadline = clockMs() + 1500;
        agent.table.startCalled(start.task, start.run, deadline);
        after(agent.startTakesEffect, [this, &agent, start, deadline] {
            if (clockMs() <= deadline)
                startAt(agent, start);
        });
        if (agent.startsAreAnswered)
            agent.table.startAnswered(start.task, start.run, start_answer::Started, now);
    }

    void startAt(agent_model &agent, const start_run &start)
    {
        auto &worker = agent.worker;
        const std::pair key{start.task, start.run};
        const auto highest = worker.highest.find(start.task);
        const bool old = highest != worker.highest.end() && start.run <= highest->second;
        if (old || worker.running.contains(key))
            return;
        worker.running.insert(key);
        ++worker.starts;
        worker.lastStart = now;
    }

    static void stopAt(agent_model &agent, const stop_run &stop)
    {
        auto &worker = agent.worker;
        auto &highest = worker.highest[stop.task];
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
        agent.reportAt = now + ReportEvery;
        for (auto *entry : {&first, &second}) {
            if (!entry->lives)
                continue;
            for (const auto &end : agent.table.endsFor(entry->self.entry))
                entry->book.runEnded(name, end, now, 100);
        }
    }

    // --- what the caller does and sees

    // The cancel at the entry that owns the job, up to its acknowledgement.
    void cancelAtOwner()
    {
        first.book.cancel(Job, 2);
        for (int turns = 0; turns < 200 && !isAcknowledged(first); ++turns)
            turn();
        require(isAcknowledged(first));
        cancelledAt = now;
    }

    static bool isAcknowledged(const entry_model &entry)
    {
        return std::find(entry.storedTokens.begin(), entry.storedTokens.end(), 2)
               != entry.storedTokens.end();
    }

    // Where the owner can't be asked, any entry writes the cancel into the row.
    void cancelInRow()
    {
        auto record = recordFrom(*row);
        record.cancelled = true;
        record.write = "entry-c:cancel:1";
        row = toText(record);
        ++version;
        storeCancel();
        cancelledAt = now;
    }

    static void die(entry_model &entry)
    {
        entry.lives = false;
        entry.ordersLost = true;
    }

    void cutOff(bool all)
    {
        for (auto &entry : agents)
            entry.second.cutOff = all;
    }

    void takeOver()
    {
        if (recordFrom(*row).needsOwner())
            second.book.adopt(Job, recordFrom(*row), version, payload);
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

    // From the end of the bound on, nothing of the job runs and nothing starts.
    void checkHolds()
    {
        run(HoldsWithin
            - (now - cancelledAt < HoldsWithin
                       ? std::chrono::duration_cast<milliseconds>(now - cancelledAt)
                       : HoldsWithin));
        check(runningTasks() == 0);
        run(Watched);
        check(runningTasks() == 0);
        for (const auto &entry : agents)
            check(entry.second.worker.lastStart <= cancelledAt + HoldsWithin);
    }
};

// What happens around a cancel, up to its acknowledgement and right after it.
struct planting
{
    const char *title;
    bool entriesSuffice; // also when the agents don't hear of cancels from the store
    void (*happens)(scene &);
};

const planting Plantings[] = {
        {"nothing else happens", true,
         [](scene &on) {
             on.submitAndRun();
             on.cancelAtOwner();
         }},
        {"its owner dies right after the acknowledgement", true,
         [](scene &on) {
             on.submitAndRun();
             on.cancelAtOwner();
             scene::die(on.first);
             on.after(TakeoverAfter, [&on] { on.takeOver(); });
         }},
        {"all entries die right after it", false,
         [](scene &on) {
             on.submitAndRun();
             on.cancelAtOwner();
             scene::die(on.first);
             scene::die(on.second);
         }},
        {"the agents hear no entry", false,
         [](scene &on) {
             on.submitAndRun();
             on.cutOff(true);
             on.cancelAtOwner();
         }},
        {"the agents hear no entry for a second", true,
         [](scene &on) {
             on.submitAndRun();
             on.cutOff(true);
             on.after(milliseconds(1200), [&on] { on.cutOff(false); });
             on.cancelAtOwner();
         }},
        {"the owner can't be asked, and writes beside the cancel", true,
         [](scene &on) {
             on.submitAndRun();
             on.first.writeTakes = milliseconds(400);
             const task_id task{Job, 0, 0, 0};
             on.first.book.progressed(on.workerOf(task), {task, 1, "0001"});
             on.run(milliseconds(100));
             on.cancelInRow();
         }},
        {"the answers to its starts come while the cancel is written", true,
         [](scene &on) {
             on.first.answerTakes = milliseconds(300);
             on.submit();
             on.run(milliseconds(250));
             check(on.runningTasks() == 3);
             on.first.writeTakes = milliseconds(600);
             on.cancelAtOwner();
         }},
        {"its starts are overtaken by its stops", true,
         [](scene &on) {
             on.first.orderTakes = milliseconds(500);
             on.submit();
             on.run(milliseconds(200));
             on.first.orderTakes = milliseconds(50);
             on.cancelAtOwner();
         }},
        {"its starts arrive at agents that live anew, from an owner that was frozen", false,
         [](scene &on) {
             on.first.orderTakes = milliseconds(5000);
             on.submit();
             on.run(milliseconds(200));
             on.cancelInRow();
             on.first.lives = false;
             on.takeOver();
             on.run(milliseconds(2000));
             for (auto &entry : on.agents)
                 on.begin(entry.second);
         }},
        {"its row is written for the first time while the cancel arrives", true,
         [](scene &on) {
             on.first.writeTakes = milliseconds(400);
             on.submit();
             on.run(milliseconds(100));
             on.cancelAtOwner();
             check(on.runningTasks() == 0); // it was cancelled before its first start was due
         }},
        {"a takeover is under way, and the cancel is written into the row", true,
         [](scene &on) {
             on.submitAndRun();
             on.first.lives = false;
             on.second.writeTakes = milliseconds(400);
             on.takeOver();
             on.run(milliseconds(100));
             on.cancelInRow();
             on.after(milliseconds(800), [&on] { on.takeOver(); });
         }},
        {"start calls have no answer, and take effect late", true,
         [](scene &on) {
             for (auto &entry : on.agents) {
                 entry.second.startTakesEffect = milliseconds(1400);
                 entry.second.startsAreAnswered = false;
             }
             on.submit();
             on.run(milliseconds(200));
             on.cancelAtOwner();
         }},
};

} // namespace

// A caller cancels its job and is told that it is cancelled. Whatever was on its way then, each
// task that is started later than the bound, or runs on, is work that nobody asked for. Entries
// and agents stop it independently of each other, so both ways are tried alone where one suffices.
Test(cancel, holds_at_every_agent)
{
    for (const auto &planted : Plantings) {
        section(planted.title, [&] {
            scene on;
            planted.happens(on);
            on.checkHolds();
        });
    }
}

Test(cancel, holds_where_agents_hear_only_entries)
{
    for (const auto &planted : Plantings) {
        if (!planted.entriesSuffice)
            continue;
        section(planted.title, [&] {
            scene on;
            on.agentsFollow = false;
            planted.happens(on);
            on.checkHolds();
        });
    }
}

// An agent whose worker does not answer for a moment has accepted a start and not called it yet.
// The cancel stops it; no list of the worker will ever name it, so its end is known by that.
Test(cancel, a_start_that_never_went_out_takes_no_room)
{
    scene on;
    auto &table = on.agents.at("w1").table;
    run_order order;
    order.task = {Job, 0, 0, 0};
    order.run = 1;
    order.epoch = Epoch;
    order.traits.size = {1000, 100, 0};
    check(table.take(order, "entry-a", on.now).outcome == order_outcome::Accepted);
    check(table.used().millicores == 1000);
    table.cancelled(Job, on.now);
    table.look({}, on.now);
    check(table.used().millicores == 0);
    check(table.due(on.now, true).empty());
    const auto ends = table.endsFor("entry-a");
    require(ends.size() == 1);
    check(ends[0].how == end_kind::NeverStarted);
}
