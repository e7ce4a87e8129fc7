// The check of the promises: a clean timeline breaks none, and each planted break is found.
#include <algorithm>
#include <cstdio>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include "section.h"
#include "soak/promises.h"

using namespace zinniabarrow;
using namespace zinniabarrow::soak;
using namespace zinniabarrow::tests;

namespace {

constexpr const char *Job = "00000000000000a1";
constexpr const char *OtherJob = "00000000000000b2";
constexpr std::int64_t StartUnixMs = 1'800'000'000'000; // when the timeline begins

constexpr const char *TwoSteps = R"({"steps":[{"count":2,"cpu":500},)"
                                 R"({"count":1,"cpu":500,"after":[0]}]})";
constexpr const char *OneTask = R"({"steps":[{"count":1,"cpu":500}]})";
constexpr const char *LongRunningTask = R"({"steps":[{"count":1,"cpu":500,"long-running":true}]})";
constexpr const char *GangOfTwo = R"({"steps":[{"count":2,"cpu":500,"gang":true},)"
                                  R"({"count":1,"cpu":500,"after":[0]}]})";
constexpr const char *SpeculativeTask = R"({"steps":[{"count":1,"cpu":500,"speculative":true}]})";
constexpr const char *TwoTimes = R"({"steps":[{"count":1,"cpu":500}],"run-count":2,)"
                                 R"("initial-delay-ms":1800000001000,"interval-ms":2000})";

struct task
{
    int step = 0;
    int index = 0;
    int run = 1;
    int occurrence = 0;
};

// Builds a timeline; each item is at the given ms of it.
class planted_timeline
{
public:
    planted_timeline() { add(0, fault_noted{"start", "entry-9", true, ""}); }

    std::uint64_t send(int ms, const std::string &method, const std::string &job,
                       const std::string &body = "", const std::string &entry = "entry-0")
    {
        add(ms, request_sent{++m_lastRequest, entry, method, job, body, StartUnixMs + ms});
        return m_lastRequest;
    }
    void answer(int ms, std::uint64_t request, int status, const std::string &body = "")
    {
        add(ms, answer_received{request, status, body});
    }
    void lose(int ms, std::uint64_t request, connection_end how)
    {
        add(ms, request_unanswered{request, how, 0, {}});
    }
    void exchange(int ms, const std::string &method, const std::string &job, int status,
                  const std::string &body = "", const std::string &answerBody = "")
    {
        answer(ms + 5, send(ms, method, job, body), status, answerBody);
    }
    void accept(int ms, const char *body, const char *job = Job)
    {
        exchange(ms, "POST", job, 200, body);
    }
    void read(int ms, const char *state, const char *job = Job)
    {
        exchange(ms, "GET", job, 200, "", std::string(R"({"state":")") + state + R"("})");
    }
    void start(int ms, task of, const char *worker = "worker-0", const char *job = Job)
    {
        add(ms, run_started{worker, job, of.step, of.index, of.run, of.occurrence});
    }
    void end(int ms, task of, const char *how = "done", const char *worker = "worker-0",
             const char *job = Job)
    {
        add(ms, run_ended{worker, job, of.step, of.index, of.run, how, of.occurrence});
    }
    void runOnce(int from, int until, task of)
    {
        start(from, of);
        end(until, of);
    }
    void fault(int ms, const char *kind, const char *target, bool isBegin = true)
    {
        add(ms, fault_noted{kind, target, isBegin, ""});
    }
    // The last item, some time after all that counts.
    void close(int ms) { exchange(ms, "GET", "", 200, "", R"({"waiting":0})"); }

    std::vector<std::string> broken(std::int64_t capacity = 0)
    {
        promise_limits limits;
        limits.capacity = capacity;
        return brokenPromises(inOrder(), limits);
    }
    judged_counts judged() { return countJudged(inOrder(), {}); }
    // Whether exactly one promise is broken, and its text contains all the parts. Prints what is
    // broken otherwise.
    bool breaksOnly(std::initializer_list<const char *> parts, std::int64_t capacity = 0)
    {
        const auto found = broken(capacity);
        const bool isExpected =
                found.size() == 1 && std::all_of(parts.begin(), parts.end(), [&](const char *part) {
                    return found.front().find(part) != std::string::npos;
                });
        if (!isExpected)
            print(found);
        return isExpected;
    }
    bool breaksNone(std::int64_t capacity = 0)
    {
        const auto found = broken(capacity);
        print(found);
        return found.empty();
    }

private:
    static void print(const std::vector<std::string> &found)
    {
        for (const auto &each : found)
            std::fprintf(stderr, "%s: broken: %s\n", sectionName().c_str(), each.c_str());
    }

    const std::vector<timeline_item> &inOrder()
    {
        std::stable_sort(m_items.begin(), m_items.end(),
                         [](const auto &one, const auto &other) { return one.at < other.at; });
        return m_items;
    }

    void add(int ms, soak_event event)
    {
        m_items.push_back({time_point(milliseconds(ms)), std::move(event)});
    }

    std::vector<timeline_item> m_items;
    std::uint64_t m_lastRequest = 0;
};

// A job of three tasks, accepted at 10 s, that runs as it should.
planted_timeline acceptedJob()
{
    planted_timeline timeline;
    timeline.accept(10'000, TwoSteps);
    return timeline;
}

planted_timeline doneJob()
{
    auto timeline = acceptedJob();
    timeline.runOnce(10'100, 10'400, {0, 0});
    timeline.runOnce(10'100, 10'500, {0, 1});
    timeline.runOnce(10'600, 10'900, {1, 0});
    return timeline;
}

} // namespace

// Guards against a check that finds breaks where there are none.
Test(soak_promises, kept)
{
    section("no items", [] { check(brokenPromises({}, {}).empty()); });
    section("jobs of all kinds that are done", [] {
        auto timeline = doneJob();
        timeline.read(10'300, "running");
        timeline.read(11'000, "completed");
        timeline.accept(12'000, LongRunningTask, OtherJob);
        timeline.start(12'100, {}, "worker-1", OtherJob);
        timeline.end(14'000, {}, "failed", "worker-1", OtherJob);
        timeline.start(14'200, {0, 0, 2}, "worker-1", OtherJob);
        timeline.close(60'000);
        check(timeline.breaksNone(8000));
    });
    section("a scheduled job", [] {
        planted_timeline timeline;
        timeline.accept(0, TwoTimes);
        timeline.runOnce(1005, 1500, {});
        timeline.runOnce(3005, 3500, {0, 0, 1, 1});
        timeline.close(60'000);
        check(timeline.breaksNone(8000));
    });
    section("one member of a gang stands for all", [] {
        planted_timeline timeline;
        timeline.accept(0, GangOfTwo);
        timeline.start(100, {0, 0});
        timeline.start(100, {0, 1});
        timeline.end(400, {0, 0});
        timeline.end(401, {0, 1}, "broken");
        timeline.runOnce(500, 900, {1, 0});
        timeline.read(1000, "completed");
        timeline.close(60'000);
        check(timeline.breaksNone(8000));
    });
    section("copies of a speculative task", [] {
        planted_timeline timeline;
        timeline.accept(0, SpeculativeTask);
        timeline.start(100, {});
        timeline.start(200, {0, 0, 2}, "worker-1");
        timeline.end(300, {0, 0, 2}, "done", "worker-1");
        timeline.end(320, {}, "stopped");
        timeline.close(60'000);
        check(timeline.breaksNone(8000));
    });
    section("a task runs again after its worker ended", [] {
        auto timeline = acceptedJob();
        timeline.start(10'100, {0, 0});
        timeline.fault(10'200, "worker_ended", "worker-0");
        timeline.start(12'000, {0, 0, 2}, "worker-1");
        timeline.end(12'300, {0, 0, 2}, "done", "worker-1");
        timeline.fault(13'000, "worker_started", "worker-0");
        timeline.runOnce(12'000, 12'300, {0, 1});
        timeline.runOnce(12'400, 12'700, {1, 0});
        timeline.close(60'000);
        check(timeline.breaksNone(8000));
    });
    section("a task runs again whose end was lost with its worker's lease", [] {
        auto timeline = acceptedJob();
        timeline.runOnce(10'100, 10'400, {0, 0});
        timeline.fault(18'000, "lease_lapsed", "worker-0");
        timeline.runOnce(18'100, 18'500, {0, 0, 2});
        timeline.runOnce(10'100, 10'400, {0, 1});
        timeline.runOnce(18'600, 18'900, {1, 0});
        timeline.close(60'000);
        check(timeline.breaksNone());
    });
    section("a cancelled job need not be done", [] {
        auto timeline = acceptedJob();
        timeline.exchange(10'050, "DELETE", Job, 200);
        timeline.read(11'000, "cancelled");
        timeline.close(60'000);
        check(timeline.breaksNone(8000));
    });
    section("a job may be unknown shortly after its ack", [] {
        auto timeline = doneJob();
        timeline.exchange(10'100, "GET", Job, 410);
        timeline.close(60'000);
        check(timeline.breaksNone());
    });
    section("a task that failed too often", [] {
        planted_timeline timeline;
        timeline.accept(0, OneTask);
        timeline.start(100, {});
        timeline.end(200, {}, "failed");
        timeline.start(300, {0, 0, 2});
        timeline.end(400, {0, 0, 2}, "failed");
        timeline.read(500, "failed");
        timeline.close(60'000);
        check(timeline.breaksNone(8000));
    });
    section("a request that raced with the end of its connection", [] {
        planted_timeline timeline;
        timeline.lose(150, timeline.send(0, "GET", ""), connection_end::Reset);
        check(timeline.breaksNone());
    });
    for (const char *kind : {"SIGKILL", "SIGSTOP", "link_cut"}) {
        section(std::string("a request that was lost near ") + kind, [&] {
            planted_timeline timeline;
            const auto *target = std::string(kind) == "link_cut" ? "entry-0>store" : "entry-0";
            timeline.fault(8000, kind, target);
            timeline.fault(9000, "SIGCONT", "entry-0");
            timeline.fault(9000, "start", "entry-0");
            timeline.fault(9000, kind, target, false);
            timeline.lose(14'000, timeline.send(12'000, "GET", ""), connection_end::Closed);
            check(timeline.breaksNone());
        });
    }
    section("a job that is done late, but soon after the last disturbance", [] {
        auto timeline = acceptedJob();
        timeline.fault(10'050, "store_unavailable", "store");
        timeline.fault(60'000, "store_unavailable", "store", false);
        timeline.runOnce(61'000, 61'400, {0, 0});
        timeline.runOnce(61'000, 61'400, {0, 1});
        timeline.runOnce(65'000, 65'400, {1, 0});
        timeline.close(100'000);
        check(timeline.breaksNone(8000));
    });
}

// Guards against a soak whose record is never judged, as a disturbance is not over or the calm
// after it is too short.
Test(soak_promises, what_was_judged)
{
    const auto countUpTo = [](int endMs, const char *openFault) {
        auto timeline = doneJob();
        timeline.accept(12'000, LongRunningTask, OtherJob);
        timeline.start(12'100, {}, "worker-1", OtherJob);
        timeline.fault(12'500, "SIGTERM", "agent-0");
        timeline.fault(13'000, "start", "agent-0");
        if (openFault != nullptr)
            timeline.fault(13'000, openFault, "agent-1");
        timeline.lose(14'100, timeline.send(14'000, "GET", Job), connection_end::Closed);
        timeline.close(endMs);
        return timeline.judged();
    };
    section("all that a whole timeline has", [&] {
        const auto counts = countUpTo(27'100, nullptr);
        check(counts.requests == 4);
        check(counts.racedRequests == 1);
        check(counts.excusedRequests == 0);
        check(counts.runs == 4);
        check(counts.finishedJobs == 1);
        check(counts.longRunningTasks == 1);
        check(counts.calm == milliseconds(12'500 - 4000 + 27'105 - 17'000));
    });
    section("the same after links were reset, which has no end", [&] {
        check(countUpTo(27'100, "link_reset").finishedJobs == 1);
        check(countUpTo(27'100, "link_reset_at_caller").finishedJobs == 1);
        check(countUpTo(27'100, "link_reset_at_target").finishedJobs == 1);
    });
    section("no job that still has time to end", [&] {
        const auto counts = countUpTo(26'900, nullptr);
        check(counts.finishedJobs == 0);
        check(counts.longRunningTasks == 1);
    });
    section("nothing that needs calm after a disturbance that is not over", [&] {
        const auto counts = countUpTo(60'000, "SIGSTOP");
        check(counts.finishedJobs == 0);
        check(counts.longRunningTasks == 0);
    });
}

// Guards against a check that misses requests without an answer.
Test(soak_promises, requests_without_an_answer)
{
    section("an entry closes a connection", [] {
        planted_timeline timeline;
        timeline.lose(1300, timeline.send(1000, "GET", Job), connection_end::Closed);
        check(timeline.breaksOnly({"LOST", "closed", "1000 ms"}));
    });
    section("a planned shutdown is no excuse", [] {
        planted_timeline timeline;
        timeline.fault(900, "SIGTERM", "entry-0");
        timeline.lose(1300, timeline.send(1000, "GET", Job), connection_end::Reset);
        timeline.fault(1500, "start", "entry-0");
        check(timeline.breaksOnly({"LOST", "reset"}));
    });
    section("a disturbance of another entry is no excuse", [] {
        planted_timeline timeline;
        timeline.fault(900, "SIGKILL", "entry-1");
        timeline.lose(1300, timeline.send(1000, "GET", Job), connection_end::Closed);
        check(timeline.breaksOnly({"LOST"}));
    });
    section("nor is one that was over long before", [] {
        planted_timeline timeline;
        timeline.fault(900, "SIGSTOP", "entry-0");
        timeline.fault(1000, "SIGCONT", "entry-0");
        timeline.lose(6300, timeline.send(6000, "GET", Job), connection_end::Closed);
        check(timeline.breaksOnly({"LOST"}));
    });
    section("an answer that does not come is told apart", [] {
        planted_timeline timeline;
        timeline.lose(21'000, timeline.send(1000, "GET", Job), connection_end::TimedOut);
        check(timeline.breaksOnly({"LOST", "not answered in its time"}));
    });
    section("a queue that is not known", [] {
        planted_timeline timeline;
        timeline.exchange(1000, "GET", "", 404);
        check(timeline.breaksOnly({"ANSWER", "404"}));
    });
}

// Guards against a check that misses accepted jobs that are lost or shown wrongly.
Test(soak_promises, accepted_jobs)
{
    for (const int status : {404, 410}) {
        section("one is no longer known", [&] {
            auto timeline = doneJob();
            timeline.exchange(13'000, "GET", Job, status);
            timeline.exchange(13'500, "GET", Job, status);
            timeline.close(60'000);
            check(timeline.breaksOnly({"LOST", Job, "10005 ms"}));
        });
    }
    section("one is shown as failed without cause", [] {
        auto timeline = doneJob();
        timeline.read(10'300, "failed");
        timeline.close(60'000);
        check(timeline.breaksOnly({"LOST", "failed without cause"}));
    });
    section("one is shown as failed after too few attempts", [] {
        auto timeline = acceptedJob();
        timeline.start(10'100, {0, 0});
        timeline.end(10'200, {0, 0}, "failed");
        timeline.read(10'300, "failed");
        check(timeline.breaksOnly({"LOST", "failed without cause"}));
    });
    section("one is shown as cancelled, which nobody asked for", [] {
        auto timeline = doneJob();
        timeline.read(10'300, "cancelled");
        timeline.close(60'000);
        check(timeline.breaksOnly({"LOST", "cancelled"}));
    });
    section("one is shown as completed too early", [] {
        auto timeline = doneJob();
        timeline.read(10'700, "completed");
        timeline.close(60'000);
        check(timeline.breaksOnly({"MIXED", "completed before"}));
    });
    section("one is shown without a state", [] {
        auto timeline = doneJob();
        timeline.exchange(10'700, "GET", Job, 200, "", "{}");
        timeline.close(60'000);
        check(timeline.breaksOnly({"MIXED", "no state"}));
    });
    section("one never runs", [] {
        auto timeline = acceptedJob();
        timeline.close(60'000);
        check(timeline.breaksOnly({"LOST", Job, "never"}));
    });
    section("a task of one never runs after the disturbances are over", [] {
        auto timeline = acceptedJob();
        timeline.runOnce(10'100, 10'400, {0, 0});
        timeline.fault(10'500, "SIGKILL", "agent-0");
        timeline.fault(11'500, "start", "agent-0");
        timeline.close(30'000);
        check(timeline.breaksOnly({"LOST", Job, "25500 ms"}));
    });
    section("one stands still for a while, with room", [] {
        auto timeline = acceptedJob();
        timeline.runOnce(10'100, 10'400, {0, 0});
        timeline.runOnce(10'100, 10'400, {0, 1});
        timeline.runOnce(13'500, 13'900, {1, 0});
        timeline.close(60'000);
        check(timeline.breaksOnly({"LOST", "nothing running since 10400 ms"}, 8000));
    });
    section("without room, that is no break", [] {
        auto timeline = acceptedJob();
        timeline.runOnce(10'100, 10'400, {0, 0});
        timeline.runOnce(10'100, 10'400, {0, 1});
        timeline.runOnce(13'500, 13'900, {1, 0});
        timeline.accept(10'050, OneTask, OtherJob);
        timeline.start(10'100, {}, "worker-1", OtherJob);
        timeline.end(13'450, {}, "done", "worker-1", OtherJob);
        timeline.close(60'000);
        check(timeline.breaksNone(1000));
    });
}

// Guards against a check that misses long-running tasks that stand still.
Test(soak_promises, long_running_tasks)
{
    section("one is not started again", [] {
        planted_timeline timeline;
        timeline.accept(5000, LongRunningTask);
        timeline.start(5100, {});
        timeline.end(8000, {}, "failed");
        timeline.close(14'100);
        check(timeline.breaksOnly({"LOST", "since 8000 ms"}));
    });
    section("one is not started again after a disturbance", [] {
        planted_timeline timeline;
        timeline.accept(5000, LongRunningTask);
        timeline.start(5100, {});
        timeline.fault(8000, "worker_ended", "worker-0");
        timeline.fault(9000, "worker_started", "worker-0");
        timeline.start(19'500, {0, 0, 2});
        timeline.close(30'000);
        check(timeline.breaksOnly({"LOST", "calm since 13000 ms"}));
    });
    section("it has its time after the disturbance", [] {
        planted_timeline timeline;
        timeline.accept(5000, LongRunningTask);
        timeline.start(5100, {});
        timeline.fault(8000, "worker_ended", "worker-0");
        timeline.fault(9000, "worker_started", "worker-0");
        timeline.start(18'900, {0, 0, 2});
        timeline.close(30'000);
        check(timeline.breaksNone());
    });
}

// Guards against a check that misses starts that must not happen.
Test(soak_promises, starts)
{
    section("a task runs twice at a time", [] {
        auto timeline = doneJob();
        timeline.start(10'300, {0, 0, 2}, "worker-1");
        timeline.end(10'350, {0, 0, 2}, "stopped", "worker-1");
        timeline.close(60'000);
        check(timeline.breaksOnly({"TWICE", "run 1 went on on worker-0"}));
    });
    section("a task runs again after it was done", [] {
        auto timeline = doneJob();
        timeline.start(10'600, {0, 0, 2}, "worker-1");
        timeline.end(10'650, {0, 0, 2}, "stopped", "worker-1");
        timeline.close(60'000);
        check(timeline.breaksOnly({"TWICE", "had been done on worker-0 at 10400 ms"}));
    });
    section("a planned shutdown of the agent is no excuse", [] {
        auto timeline = doneJob();
        timeline.fault(10'450, "SIGTERM", "agent-0");
        timeline.fault(10'500, "start", "agent-0");
        timeline.start(10'600, {0, 0, 2}, "worker-1");
        timeline.end(10'650, {0, 0, 2}, "stopped", "worker-1");
        timeline.close(60'000);
        check(timeline.breaksOnly({"TWICE"}));
    });
    section("nor is one that is killed, as the worker still lists the end", [] {
        auto timeline = doneJob();
        timeline.fault(10'450, "SIGKILL", "agent-0");
        timeline.start(10'600, {0, 0, 2}, "worker-1");
        timeline.end(10'650, {0, 0, 2}, "stopped", "worker-1");
        timeline.close(60'000);
        check(timeline.breaksOnly({"TWICE"}));
    });
    section("a long-running task runs twice at a time", [] {
        planted_timeline timeline;
        timeline.accept(0, LongRunningTask);
        timeline.start(100, {});
        timeline.start(5000, {0, 0, 2}, "worker-1");
        check(timeline.breaksOnly({"TWICE"}));
    });
    section("a step starts before the one that it follows is done", [] {
        auto timeline = acceptedJob();
        timeline.runOnce(10'100, 10'400, {0, 0});
        timeline.runOnce(10'100, 10'500, {0, 1});
        timeline.runOnce(10'450, 10'900, {1, 0});
        timeline.close(60'000);
        check(timeline.breaksOnly({"ORDER", "before step 0"}));
    });
    section("an occurrence starts before its time", [] {
        planted_timeline timeline;
        timeline.accept(0, TwoTimes);
        timeline.runOnce(1005, 1500, {});
        timeline.runOnce(2500, 2900, {0, 0, 1, 1});
        timeline.close(60'000);
        check(timeline.breaksOnly({"ORDER", "3000 ms"}));
    });
    section("a job runs that was only refused", [] {
        planted_timeline timeline;
        timeline.exchange(1000, "POST", Job, 503, OneTask);
        timeline.exchange(2000, "POST", Job, 429, OneTask);
        timeline.runOnce(3000, 3300, {});
        check(timeline.breaksOnly({"REFUSED"}));
    });
    section("one whose request was not answered may run", [] {
        planted_timeline timeline;
        timeline.exchange(1000, "POST", Job, 503, OneTask);
        timeline.lose(2100, timeline.send(2000, "POST", Job, OneTask), connection_end::Closed);
        timeline.runOnce(3000, 3300, {});
        check(timeline.breaksNone());
    });
    section("a task runs that nobody sent", [] {
        auto timeline = doneJob();
        timeline.runOnce(11'000, 11'300, {2, 0});
        timeline.close(60'000);
        check(timeline.breaksOnly({"UNASKED", "2.0"}));
    });
    section("a task runs before its job was sent", [] {
        planted_timeline timeline;
        timeline.runOnce(900, 950, {});
        timeline.accept(1000, OneTask);
        timeline.close(60'000);
        check(timeline.breaksOnly({"UNASKED"}));
    });
    section("a task starts long after its job was cancelled", [] {
        auto timeline = acceptedJob();
        timeline.exchange(10'050, "DELETE", Job, 200);
        timeline.start(14'000, {0, 0});
        timeline.end(14'100, {0, 0}, "stopped");
        check(timeline.breaksOnly({"UNASKED", "acknowledged at 10055 ms"}));
    });
    section("a member of a gang waits in vain for the others", [] {
        planted_timeline timeline;
        timeline.accept(5000, GangOfTwo);
        timeline.start(5100, {0, 0});
        timeline.end(8100, {0, 0}, "alone");
        timeline.start(8200, {0, 0, 2});
        timeline.start(8200, {0, 1, 2}, "worker-1");
        timeline.end(8500, {0, 0, 2});
        timeline.end(8500, {0, 1, 2}, "done", "worker-1");
        timeline.runOnce(8600, 8900, {1, 0});
        timeline.close(60'000);
        check(timeline.breaksOnly({"GANG", "5100 ms"}));
    });
}
