// Unit tests of the classes that the scheduler uses: ledger, learned sizes, quarantine, quotas,
// interference, relief and latency signal.
#include <cmath>

#include <criterion/criterion.h>

#include "base/errors.h"
#include "placement/interference.h"
#include "placement/latency_signal.h"
#include "placement/quarantine.h"
#include "placement/quota_table.h"
#include "placement/relief.h"
#include "placement/reservation_ledger.h"
#include "placement/size_learner.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::placement;
using zinniabarrow::tests::section;

namespace {

constexpr std::int64_t Gigabyte = 1'000'000'000;
constexpr time_point Start{std::chrono::hours(1)};

// True if the call throws error BadRequest with `member` in its text.
template <typename Call>
bool namesInvalidMember(const std::string &member, Call &&call)
{
    try {
        call();
    } catch (const error &problem) {
        return problem.kind() == error_kind::BadRequest
               && std::string(problem.what()).find(member) != std::string::npos;
    }
    return false;
}

} // namespace

// Two schedulers place tasks on a worker at the same time, and the agent is asked to start more
// than the worker can hold. The worker would start all of them and run out of memory, so the
// agent's own ledger must refuse the excess and must keep counting tasks that may still run.
Test(placement, ledger)
{
    reservation_ledger workerLedger({16'000, 60 * Gigabyte, 1});
    const resources half{8'000, 30 * Gigabyte, 0};
    const task_ref first{"tickets", 0};
    const task_ref second{"season", 0};
    const task_ref third{"season", 1};

    section("reserves what fits and no more", [&] {
        check(workerLedger.tryReserve(first, half));
        check(workerLedger.tryReserve(second, half));
        check(!workerLedger.tryReserve(third, {1, 1, 0}));
        check(workerLedger.tryReserve(first, half)); // a duplicated message is not counted twice
        check(workerLedger.reserved() == half + half);
    });
    section("counts an unconfirmed stop and an ambiguous placement", [&] {
        check(workerLedger.setState(first, reservation_state::Stopping));
        check(workerLedger.setState(second, reservation_state::Ambiguous));
        check(!workerLedger.tryReserve(third, {1, 1, 0}));
        check(workerLedger.release(first));
        check(!workerLedger.release(first));
        check(workerLedger.tryReserve(third, {1'000, 10 * Gigabyte, 0}));
    });
    section("raises a reservation if it fits, otherwise defers the raise", [&] {
        check(workerLedger.tryRaise(third, {0, 20 * Gigabyte, 0}));
        check(!workerLedger.tryRaise(third, {0, 40 * Gigabyte, 0}));
        check(workerLedger.deferred().bytes == 20 * Gigabyte);
        check(!workerLedger.fits({0, 1, 0})); // the remaining memory is kept for the raise
        check(workerLedger.release(second));
        check(workerLedger.deferred().bytes == 0);
        check(workerLedger.find(third)->reserved.bytes == 40 * Gigabyte);
    });
    section("after shrinking, a worker accepts nothing until its tasks fit again", [&] {
        workerLedger.resize({16'000, 30 * Gigabyte, 1});
        check(!workerLedger.tryReserve(first, {1, 0, 0}));
        check(workerLedger.release(third));
        check(workerLedger.tryReserve(first, half));
    });
}

Test(placement, jsonConversion)
{
    task_spec task;
    task.jobId = "season";
    task.jobClass = "booking";
    task.team = "clubs";
    task.pool = "main";
    task.declared = {500, Gigabyte, 0};
    section("a task is unchanged after conversion to JSON and back", [&] {
        const auto converted = taskSpecFromJson(toJson(task));
        check(toJson(converted) == toJson(task));
    });
    section("an invalid member is named", [&] {
        auto value = toJson(task);
        value["declared"]["bytes"] = -1;
        check(namesInvalidMember("bytes", [&] { taskSpecFromJson(value); }));
        value = toJson(task);
        value["kind"] = "daemon";
        check(namesInvalidMember("kind", [&] { taskSpecFromJson(value); }));
        check(namesInvalidMember("id", [&] { workerInfoFromJson(Json::Value(3)); }));
    });
}

Test(placement, learnedSizes)
{
    size_learner learner{size_learner_settings{}};
    task_spec task;
    task.jobClass = "booking";
    task.declared = {8'000, Gigabyte, 0};
    section("an unknown class gets its declared size",
            [&] { check(learner.reservationFor(task) == task.declared); });
    section("memory follows the peaks of the tasks, not the number of samples", [&] {
        for (int index = 0; index < 10; ++index) {
            learner.observe("booking", 0, {1'000, Gigabyte / 2, 0}, Start);
            learner.observe("booking", Gigabyte / 2, {1'000, 3 * Gigabyte, 0}, Start);
            for (int sample = 0; sample < 50; ++sample)
                learner.observe("booking", 3 * Gigabyte, {1'000, Gigabyte / 2, 0}, Start);
        }
        const auto bytes = learner.reservationFor(task).bytes;
        check(bytes >= 3 * Gigabyte && bytes <= 37 * Gigabyte / 10);
    });
    section("unused processor time of batch is reclaimed, that of a service is not", [&] {
        check(learner.reservationFor(task).millicores
              == 2'000); // the minimum, a quarter of the declared size
        task.kind = task_kind::Service;
        check(learner.reservationFor(task).millicores == 8'000);
    });
    section("using less memory than declared does not reduce the reservation", [&] {
        task.declared.bytes = 9 * Gigabyte;
        check(learner.reservationFor(task).bytes == 9 * Gigabyte);
    });
    section("a reservation is raised before it is exhausted", [&] {
        const resources reserved{1'000, Gigabyte, 0};
        check(learner.raisedReservation(reserved, {4'000, Gigabyte / 2, 0}) == reserved);
        check(learner.raisedReservation(reserved, {0, 95 * Gigabyte / 100, 0}).bytes
              == 114 * Gigabyte / 100);
    });
    section("the number of classes is bounded: the least recently sampled is removed", [&] {
        for (int index = 0; index < 2'000; ++index)
            learner.observe("class-" + std::to_string(index), 0, {1, 1, 0},
                            Start + seconds(index + 1));
        check(learner.classCount() == 512);
    });
}

// One of ten workers fails every task. Without a quarantine of workers, jobs would fail there
// repeatedly and be quarantined themselves. The worker is quarantined and gets one task as a probe
// after its cool-down.
Test(placement, quarantinedWorker)
{
    quarantine subject{quarantine_settings{}};
    time_point now = Start;
    const auto fail = [&](int job, const std::string &worker) {
        subject.recordFailure("job-" + std::to_string(job), worker, "main", 10, "exit 1", now);
    };
    section("failures of three distinct jobs quarantine the worker, those of one job do not", [&] {
        for (int repeat = 0; repeat < 5; ++repeat)
            fail(1, "w1");
        fail(2, "w1");
        check(subject.canUseWorker("w1", now));
        fail(3, "w1");
        check(!subject.canUseWorker("w1", now));
        check(subject.canStartJob("job-1", now));
    });
    section("failures on the quarantined worker do not count against the jobs", [&] {
        fail(1, "w2");
        fail(1, "w3");
        check(subject.canStartJob("job-1", now));
    });
    section("failures during the quarantine do not prolong it", [&] {
        now += seconds(30);
        for (int job = 4; job < 20; ++job)
            fail(job, "w1");
        check(subject.canUseWorker("w1", Start + seconds(120)));
    });
    section("one probe at a time; its failure doubles the cool-down", [&] {
        now = Start + seconds(120);
        subject.recordStart("job-30", "w1", now);
        check(!subject.canUseWorker("w1", now));
        now += seconds(5);
        fail(30, "w1");
        check(!subject.canUseWorker("w1", now + seconds(239)));
        check(subject.canUseWorker("w1", now + seconds(240)));
        check(subject.canStartJob("job-30", now));
    });
    section("the success of a new task ends the quarantine, that of an older task does not", [&] {
        subject.recordSuccess("job-0", "w1", Start - seconds(1));
        check(subject.isWorkerQuarantined("w1"));
        subject.recordSuccess("job-0", "w1", now + seconds(240));
        check(!subject.isWorkerQuarantined("w1"));
    });
}

// A failing job alternates between the only two workers with free capacity. It never reaches the
// limit of three distinct workers, and without another limit it would fail every few seconds
// forever.
Test(placement, jobFailingOnTwoWorkers)
{
    quarantine subject{quarantine_settings{}};
    time_point now = Start;
    int failures = 0;
    for (; failures < 100 && subject.canStartJob("bad", now); ++failures) {
        now += seconds(3);
        subject.recordFailure("bad", failures % 2 == 0 ? "w1" : "w2", "main", 20, "exit 1", now);
    }
    section("ten failures on two workers quarantine the job", [&] { check(failures == 10); });
    section("any number of failures on one worker does not: the worker may be faulty", [&] {
        for (int repeat = 0; repeat < 50; ++repeat)
            subject.recordFailure("other", "w3", "main", 20, "exit 1", now);
        check(subject.canStartJob("other", now));
    });
}

// A hundred jobs with a broken program arrive at once and fail on every worker. Every worker then
// looks broken, and quarantining all of them would stop the healthy jobs too.
Test(placement, waveOfFailingJobs)
{
    quarantine subject{quarantine_settings{}};
    time_point now = Start;
    std::size_t maxQuarantined = 0;
    for (int round = 0; round < 6; ++round) {
        for (int job = 0; job < 100; ++job) {
            const auto name = "bad-" + std::to_string(job);
            const auto worker = "w" + std::to_string((job + round * 7) % 20);
            if (subject.canStartJob(name, now) && subject.canUseWorker(worker, now))
                subject.recordFailure(name, worker, "main", 20, "missing file", now);
            maxQuarantined = std::max(maxQuarantined, subject.quarantinedWorkers().size());
        }
        now += seconds(1);
    }
    section("never more than a tenth of the pool is quarantined",
            [&] { check(maxQuarantined == 2); });
    section("the failing jobs are quarantined, with a reason", [&] {
        int quarantined = 0;
        for (int job = 0; job < 100; ++job)
            quarantined += subject.isJobQuarantined("bad-" + std::to_string(job)) ? 1 : 0;
        check(quarantined == 100);
        check(subject.reasonFor("bad-7", now).find("missing file") != std::string::npos);
    });
    section("one task is retried after the cool-down, and its success ends the quarantine", [&] {
        now += seconds(120);
        check(subject.canStartJob("bad-7", now));
        subject.recordStart("bad-7", "w3", now);
        check(!subject.canStartJob("bad-7", now));
        subject.recordSuccess("bad-7", "w3", now);
        check(subject.canStartJob("bad-7", now));
    });
}

// Three jobs are quarantined, each for failures on different workers. Later, when those failures
// are outside the window, the probe of each job happens to fail on the same worker. Three distinct
// jobs have then failed on that worker, but since each is known to fail anywhere, the worker must
// not be quarantined.
Test(placement, quarantinedJobsCountAgainstNoWorker)
{
    quarantine subject{quarantine_settings{}};
    time_point now = Start;
    const auto fail = [&](int job, const std::string &worker) {
        subject.recordFailure("bad-" + std::to_string(job), worker, "main", 20, "exit 1", now);
    };
    for (int job = 0; job < 3; ++job) {
        for (int worker = 0; worker < 3; ++worker)
            fail(job, "w" + std::to_string(job * 3 + worker));
        require(subject.isJobQuarantined("bad-" + std::to_string(job)));
    }
    now += quarantine_settings{}.window + seconds(1);
    for (int job = 0; job < 3; ++job) {
        const auto name = "bad-" + std::to_string(job);
        require(subject.canStartJob(name, now));
        subject.recordStart(name, "good", now);
        fail(job, "good");
    }
    section("the worker still accepts tasks", [&] {
        check(!subject.isWorkerQuarantined("good"));
        check(subject.canUseWorker("good", now));
    });
    section("each job waits twice as long as before", [&] {
        check(!subject.canStartJob("bad-0", now + quarantine_settings{}.coolDown));
        check(subject.canStartJob("bad-0", now + 2 * quarantine_settings{}.coolDown));
    });
}

Test(placement, quotas)
{
    quota_table quotaTable;
    quotaTable.setTotal({100'000, 100 * Gigabyte, 10});
    quotaTable.setQuota({"rink", 1, {}});
    quotaTable.setQuota({"clubs", 2, {20'000, 0, 0}});
    const auto rink = quotaTable.teamNumber("rink");
    const auto clubs = quotaTable.teamNumber("clubs");
    section("the share is the largest over all dimensions, divided by the weight", [&] {
        quotaTable.charge(rink, {10'000, 30 * Gigabyte, 0});
        quotaTable.charge(clubs, {10'000, 0, 4});
        check(quotaTable.weightedShare(rink) == 0.3);
        check(quotaTable.weightedShare(clubs) == 0.2);
    });
    section("a limit applies only in its dimension", [&] {
        check(quotaTable.canReserve(clubs, {10'000, 90 * Gigabyte, 0}));
        check(!quotaTable.canReserve(clubs, {10'001, 0, 0}));
        check(quotaTable.exceededDimension(clubs, {20'001, 0, 0}) == "millicores");
        check(!quotaTable.exceededDimension(clubs, {20'000, 0, 0}));
    });
}

// A service runs beside a constant interfering neighbour, which then leaves. Before that, the
// interference cannot be distinguished from the service's own latency; the change must correct both
// estimates, in opposite directions.
Test(placement, constantNeighbourLeaves)
{
    interference_model model{interference_settings{}};
    time_point now = Start;
    const std::vector<class_share> noisy{{1, 0.5}};
    for (int sample = 0; sample < 200; ++sample)
        model.learn(0, noisy, 2.1, now += seconds(10));
    const double effectBefore = model.effect(0, 1).mean;
    for (int sample = 0; sample < 5; ++sample)
        model.learn(0, {}, -0.3, now += seconds(10));
    section("the slowdown is attributed to the neighbour, not to the service", [&] {
        check(effectBefore < 3);
        check(std::abs(model.effect(0, 1).mean - 4.8) < 0.5);
        check(std::abs(model.baseline(0) + 0.3) < 0.1);
    });
    section("the number of neighbours is bounded: the one seen least recently is replaced", [&] {
        for (class_number other = 2; other < 40; ++other)
            model.learn(0, std::vector<class_share>{{other, 0.1}}, -0.3, now += seconds(10));
        check(model.effect(0, 1).deviation == interference_settings{}.priorDeviation);
        check(model.effect(0, 39).deviation < interference_settings{}.priorDeviation);
    });
}

// A quiet task replaces an interfering one, and the sample that shows the interference arrives
// after the change. If the sample were attributed to the tasks that run on arrival, the quiet class
// would be throttled.
Test(placement, delayedSamplesAreAttributed)
{
    constexpr class_number Service = 0;
    constexpr class_number Noisy = 1;
    constexpr class_number Quiet = 2;
    interference_model model{interference_settings{}};
    neighbour_history history;
    time_point now = Start;
    for (int round = 0; round < 40; ++round) {
        history.addChange(Noisy, 4'000, now);
        history.addChange(Noisy, -4'000, now + seconds(10));
        history.addChange(Quiet, 4'000, now + seconds(10));
        const auto noisyMoment = now + seconds(5); // beside the noisy task; it arrives at 15 s
        model.learn(Service, sharesOf(*history.at(noisyMoment), 16'000), 0.4, noisyMoment);
        const auto quietMoment = now + seconds(12);
        model.learn(Service, sharesOf(*history.at(quietMoment), 16'000), -0.4, quietMoment);
        history.addChange(Quiet, -4'000, now + seconds(20));
        model.learn(Service, {}, -0.5, now + seconds(21)); // without neighbours
        now += seconds(24);
    }
    section("the slowdown is attributed to the noisy class, not to the quiet one", [&] {
        check(std::abs(model.effect(Service, Noisy).mean - 3.6) < 0.3);
        check(std::abs(model.effect(Service, Quiet).mean - 0.4) < 0.3);
    });
    section("the uncertainty falls with the number of samples", [&] {
        check(model.effect(Service, Noisy).deviation < 0.3);
        check(model.effect(Service, 9).deviation == interference_settings{}.priorDeviation);
    });
    section("the estimate for an unknown pair uses the means of its classes", [&] {
        model.learn(5, std::vector<class_share>{{Noisy, 0.25}}, 0.5, now);
        const double other = model.effect(6, Noisy).mean;
        check(other > model.effect(6, Quiet).mean);
        check(other > 0.5);
    });
    section("a moment before the history has no value", [&] {
        check(!history.at(Start + seconds(1)));
        check(history.at(now - seconds(10)));
    });
}

Test(placement, relief)
{
    const policy_weights latencyWeights{0.7, 0.2, 0.1};
    const policy_weights throughputWeights{0.2, 0.4, 0.4};
    const relief_settings settings;
    std::vector<relief_candidate> tasks{{0, 0.01, 4, 4, true}, {1, 0.2, 4, 4, true}};
    section("the task with the largest effect is throttled first", [&] {
        const auto step = chooseRelief(0.5, 16, tasks, latencyWeights, settings);
        check(step && std::get<throttle_relief>(*step).index == 1);
        check(step && std::get<throttle_relief>(*step).limitProcessors == 2);
    });
    section("a task is evicted only when throttling has reached its lower bound", [&] {
        tasks[0].effectPerProcessor = 0;
        tasks[1].limitProcessors = 1;
        const auto step = chooseRelief(0.5, 16, tasks, latencyWeights, settings);
        check(step && std::get<evict_relief>(*step).index == 1);
    });
    section("with a higher weight of evictions, no task is evicted in the same situation",
            [&] { check(!chooseRelief(0.5, 16, tasks, throughputWeights, settings)); });
    section("a small excess causes no action",
            [&] { check(!chooseRelief(0.01, 16, tasks, latencyWeights, settings)); });
    section("the limit is raised where the effect is smallest, and only with enough headroom", [&] {
        tasks = {{0, 0.3, 1, 4, true}, {1, 0.05, 1, 4, true}};
        const auto step = chooseThrottleLift(0.2, tasks, settings);
        check(step && step->index == 1 && step->limitProcessors == 2);
        check(!chooseThrottleLift(0.01, tasks, settings));
    });
    section("the eviction budget is refilled with time, in proportion to the workers", [&] {
        eviction_budget budget(2);
        budget.refill(settings, 8, Start);
        budget.take();
        budget.take();
        check(!budget.canTake());
        budget.refill(settings, 8, Start + std::chrono::minutes(31));
        check(budget.canTake());
    });
    section("the limit of evictions per minute applies to any number of workers", [&] {
        relief_settings limited;
        limited.evictionsPerMinute = 1;
        eviction_budget budget(limited.evictionBurst);
        for (int minute = 0; minute < 3; ++minute) {
            budget.refill(limited, 10'000, Start + std::chrono::minutes(minute));
            check(budget.canTake());
            budget.take();
            check(!budget.canTake());
        }
        limited.evictionsPerMinute = 0;
        budget.refill(limited, 10'000, Start + std::chrono::hours(24));
        check(!budget.canTake());
    });
}

Test(placement, latencySignal)
{
    const latency_signal_settings settings{4, 0.1, 0};
    latency_signal signal;
    section("a single slow sample does not raise the signal, several do", [&] {
        for (const double excess : {-0.2, -0.2, 0.6, -0.2, -0.2})
            signal.add(excess, settings);
        check(!signal.isRaised());
        for (int index = 0; index < 4; ++index)
            signal.add(0.2, settings);
        check(signal.isRaised());
    });
    section("the signal stays raised between the two levels", [&] {
        for (int index = 0; index < 4; ++index)
            signal.add(0.05, settings);
        check(signal.isRaised());
        for (int index = 0; index < 4; ++index)
            signal.add(-0.1, settings);
        check(!signal.isRaised());
    });
}
