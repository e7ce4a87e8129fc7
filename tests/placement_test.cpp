// The parts of placement: ledger, learned sizes, quarantine, quotas, interference, relief.
#include <cmath>

#include <criterion/criterion.h>

#include "base/errors.h"
#include "placement/interference.h"
#include "placement/load_signal.h"
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

// Whether the call throws error BadRequest whose text names `member`.
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

// The agent is given more than its worker holds, because two schedulers decided at once. The worker
// would start it all and run out of memory, so the agent's own ledger has to refuse the surplus,
// and has to go on counting what may still run.
Test(placement, ledger)
{
    reservation_ledger table({16'000, 60 * Gigabyte, 1});
    const resources half{8'000, 30 * Gigabyte, 0};
    const task_ref first{"tickets", 0};
    const task_ref second{"season", 0};
    const task_ref third{"season", 1};

    section("gives what fits and no more", [&] {
        check(table.tryReserve(first, half));
        check(table.tryReserve(second, half));
        check(!table.tryReserve(third, {1, 1, 0}));
        check(table.tryReserve(first, half)); // a repeated message is not counted twice
        check(table.reserved() == half + half);
    });
    section("counts an unconfirmed stop and an ambiguous placement", [&] {
        check(table.setState(first, reservation_state::Stopping));
        check(table.setState(second, reservation_state::Ambiguous));
        check(!table.tryReserve(third, {1, 1, 0}));
        check(table.release(first));
        check(!table.release(first));
        check(table.tryReserve(third, {1'000, 10 * Gigabyte, 0}));
    });
    section("raises a reservation when there is room, else owes it", [&] {
        check(table.tryRaise(third, {0, 20 * Gigabyte, 0}));
        check(!table.tryRaise(third, {0, 40 * Gigabyte, 0}));
        check(table.deferred().bytes == 20 * Gigabyte);
        check(!table.fits({0, 1, 0})); // the rest of the memory is kept for the raise
        check(table.release(second));
        check(table.deferred().bytes == 0);
        check(table.find(third)->reserved.bytes == 40 * Gigabyte);
    });
    section("a smaller worker takes nothing new until it fits again", [&] {
        table.resize({16'000, 30 * Gigabyte, 1});
        check(!table.tryReserve(first, {1, 0, 0}));
        check(table.release(third));
        check(table.tryReserve(first, half));
    });
}

Test(placement, messages)
{
    task_spec task;
    task.jobId = "season";
    task.jobClass = "booking";
    task.team = "clubs";
    task.pool = "main";
    task.declared = {500, Gigabyte, 0};
    section("a task survives the way there and back", [&] {
        const auto back = taskSpecFromJson(toJson(task));
        check(toJson(back) == toJson(task));
    });
    section("a wrong member is named", [&] {
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
    section("an unseen class is taken at its word",
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
    section("unused processors of batch are reclaimed, those of a service are not", [&] {
        check(learner.reservationFor(task).millicores == 2'000); // the floor, a quarter
        task.kind = task_kind::Service;
        check(learner.reservationFor(task).millicores == 8'000);
    });
    section("a smaller use than declared frees no memory", [&] {
        task.declared.bytes = 9 * Gigabyte;
        check(learner.reservationFor(task).bytes == 9 * Gigabyte);
    });
    section("a reservation is raised before it is used up", [&] {
        const resources reserved{1'000, Gigabyte, 0};
        check(learner.raisedReservation(reserved, {4'000, Gigabyte / 2, 0}) == reserved);
        check(learner.raisedReservation(reserved, {0, 95 * Gigabyte / 100, 0}).bytes
              == 114 * Gigabyte / 100);
    });
    section("memory is bounded: the class unseen for longest is forgotten", [&] {
        for (int index = 0; index < 2'000; ++index)
            learner.observe("class-" + std::to_string(index), 0, {1, 1, 0},
                            Start + seconds(index + 1));
        check(learner.classCount() == 512);
    });
}

// One worker of ten fails whatever it starts. Jobs would fail there again and again, and would be
// quarantined for it; instead the worker is set aside, and tries one task after its cool-down.
Test(placement, quarantinedWorker)
{
    quarantine subject{quarantine_settings{}};
    time_point now = Start;
    const auto fail = [&](int job, const std::string &worker) {
        subject.recordFailure("job-" + std::to_string(job), worker, "main", 10, "exit 1", now);
    };
    section("three distinct jobs fail on it, one alone does not set it aside", [&] {
        for (int repeat = 0; repeat < 5; ++repeat)
            fail(1, "w1");
        fail(2, "w1");
        check(subject.canUseWorker("w1", now));
        fail(3, "w1");
        check(!subject.canUseWorker("w1", now));
        check(subject.canStartJob("job-1", now));
    });
    section("what failed there does not count against the jobs", [&] {
        fail(1, "w2");
        fail(1, "w3");
        check(subject.canStartJob("job-1", now));
    });
    section("tasks that fail while it is set aside do not prolong the stay", [&] {
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
    section("an old task that goes on proves nothing; a new one that succeeds does", [&] {
        subject.recordSuccess("job-0", "w1", Start - seconds(1));
        check(subject.isWorkerQuarantined("w1"));
        subject.recordSuccess("job-0", "w1", now + seconds(240));
        check(!subject.isWorkerQuarantined("w1"));
    });
}

// A bad job goes back and forth between the only two workers with room. It never fails on a third,
// and would fail there every few seconds for ever.
Test(placement, jobThatFailsOnTwoWorkers)
{
    quarantine subject{quarantine_settings{}};
    time_point now = Start;
    int failures = 0;
    for (; failures < 100 && subject.canStartJob("bad", now); ++failures) {
        now += seconds(3);
        subject.recordFailure("bad", failures % 2 == 0 ? "w1" : "w2", "main", 20, "exit 1", now);
    }
    section("ten failures are enough", [&] { check(failures == 10); });
    section("many on a single worker are not: the worker may be at fault", [&] {
        for (int repeat = 0; repeat < 50; ++repeat)
            subject.recordFailure("other", "w3", "main", 20, "exit 1", now);
        check(subject.canStartJob("other", now));
    });
}

// A hundred jobs with a broken program arrive at once and fail everywhere. Each worker then looks
// as if it failed everything; setting them all aside would stop the good jobs too.
Test(placement, badJobWave)
{
    quarantine subject{quarantine_settings{}};
    time_point now = Start;
    std::size_t mostQuarantined = 0;
    for (int round = 0; round < 6; ++round) {
        for (int job = 0; job < 100; ++job) {
            const auto name = "bad-" + std::to_string(job);
            const auto worker = "w" + std::to_string((job + round * 7) % 20);
            if (subject.canStartJob(name, now) && subject.canUseWorker(worker, now))
                subject.recordFailure(name, worker, "main", 20, "missing file", now);
            mostQuarantined = std::max(mostQuarantined, subject.quarantinedWorkers().size());
        }
        now += seconds(1);
    }
    section("never more than a tenth of the pool is set aside",
            [&] { check(mostQuarantined == 2); });
    section("the bad jobs are quarantined, with their reason", [&] {
        int quarantined = 0;
        for (int job = 0; job < 100; ++job)
            quarantined += subject.isJobQuarantined("bad-" + std::to_string(job)) ? 1 : 0;
        check(quarantined == 100);
        check(subject.reasonFor("bad-7", now).find("missing file") != std::string::npos);
    });
    section("they return: one task tries again after the cool-down", [&] {
        now += seconds(120);
        check(subject.canStartJob("bad-7", now));
        subject.recordStart("bad-7", "w3", now);
        check(!subject.canStartJob("bad-7", now));
        subject.recordSuccess("bad-7", "w3", now);
        check(subject.canStartJob("bad-7", now));
    });
}

// Three jobs are quarantined, each for failures on workers of its own. Long after, when those
// failures are out of the window, each tries one task again, by chance on the same worker, and
// fails. That worker has seen three distinct jobs fail, yet they say nothing of it.
Test(placement, knownBadJobsBlameNoWorker)
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
    section("the worker goes on taking tasks", [&] {
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
    quota_table table;
    table.setTotal({100'000, 100 * Gigabyte, 10});
    table.setQuota({"rink", 1, {}});
    table.setQuota({"clubs", 2, {20'000, 0, 0}});
    const auto rink = table.teamNumber("rink");
    const auto clubs = table.teamNumber("clubs");
    section("the share is the largest over all dimensions, divided by the weight", [&] {
        table.charge(rink, {10'000, 30 * Gigabyte, 0});
        table.charge(clubs, {10'000, 0, 4});
        check(table.weightedShare(rink) == 0.3);
        check(table.weightedShare(clubs) == 0.2);
    });
    section("a limit holds in the dimension where it is set", [&] {
        check(table.canReserve(clubs, {10'000, 90 * Gigabyte, 0}));
        check(!table.canReserve(clubs, {10'001, 0, 0}));
        check(table.exceededDimension(clubs, {20'001, 0, 0}) == "millicores");
        check(!table.exceededDimension(clubs, {20'000, 0, 0}));
    });
}

// A service has a steady noisy neighbour, then the neighbour goes. While it was there, the noise
// could not be told from the service's own latency; the change must correct both, in opposite
// directions.
Test(placement, steadyNeighbourThatGoes)
{
    interference_model model{interference_settings{}};
    time_point now = Start;
    const std::vector<class_share> noisy{{1, 0.5}};
    for (int sample = 0; sample < 200; ++sample)
        model.learn(0, noisy, 2.1, now += seconds(10));
    const double effectBefore = model.effect(0, 1).mean;
    for (int sample = 0; sample < 5; ++sample)
        model.learn(0, {}, -0.3, now += seconds(10));
    section("the noise is blamed and the service is not", [&] {
        check(effectBefore < 3);
        check(std::abs(model.effect(0, 1).mean - 4.8) < 0.5);
        check(std::abs(model.baseline(0) + 0.3) < 0.1);
    });
    section("memory is bounded: the neighbour unseen for longest gives its place", [&] {
        for (class_number other = 2; other < 40; ++other)
            model.learn(0, std::vector<class_share>{{other, 0.1}}, -0.3, now += seconds(10));
        check(model.effect(0, 1).deviation == interference_settings{}.priorDeviation);
        check(model.effect(0, 39).deviation < interference_settings{}.priorDeviation);
    });
}

// A quiet task replaces a noisy one; the sample that tells of the noise arrives after the change.
// If it were explained by who runs now, the quiet class would be blamed and throttled.
Test(placement, lateSamplesAreAttributed)
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
        const auto noisyMoment = now + seconds(5); // beside the noisy task, and it arrives at 15 s
        model.learn(Service, sharesOf(*history.at(noisyMoment), 16'000), 0.4, noisyMoment);
        const auto quietMoment = now + seconds(12);
        model.learn(Service, sharesOf(*history.at(quietMoment), 16'000), -0.4, quietMoment);
        history.addChange(Quiet, -4'000, now + seconds(20));
        model.learn(Service, {}, -0.5, now + seconds(21)); // alone
        now += seconds(24);
    }
    section("the noisy class is blamed, the quiet one is not", [&] {
        check(std::abs(model.effect(Service, Noisy).mean - 3.6) < 0.3);
        check(std::abs(model.effect(Service, Quiet).mean - 0.4) < 0.3);
    });
    section("certainty grows with the samples", [&] {
        check(model.effect(Service, Noisy).deviation < 0.3);
        check(model.effect(Service, 9).deviation == interference_settings{}.priorDeviation);
    });
    section("an unknown pair borrows from the means of its classes", [&] {
        model.learn(5, std::vector<class_share>{{Noisy, 0.25}}, 0.5, now);
        const double other = model.effect(6, Noisy).mean;
        check(other > model.effect(6, Quiet).mean);
        check(other > 0.5);
    });
    section("a moment before the history is not guessed", [&] {
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
    section("the one that disturbs most is throttled first", [&] {
        const auto step = chooseRelief(0.5, 16, tasks, latencyWeights, settings);
        check(step && std::get<throttle_relief>(*step).index == 1);
        check(step && std::get<throttle_relief>(*step).limitProcessors == 2);
    });
    section("evicted only when throttling has come to its floor", [&] {
        tasks[0].effectPerProcessor = 0;
        tasks[1].limitProcessors = 1;
        const auto step = chooseRelief(0.5, 16, tasks, latencyWeights, settings);
        check(step && std::get<evict_relief>(*step).index == 1);
    });
    section("a deployment that weighs evictions more does not evict for as little",
            [&] { check(!chooseRelief(0.5, 16, tasks, throughputWeights, settings)); });
    section("a small excess is worth no action at all",
            [&] { check(!chooseRelief(0.01, 16, tasks, latencyWeights, settings)); });
    section("processors come back where they disturb least, and only if there is room", [&] {
        tasks = {{0, 0.3, 1, 4, true}, {1, 0.05, 1, 4, true}};
        const auto step = chooseThrottleLift(0.2, tasks, settings);
        check(step && step->index == 1 && step->limitProcessors == 2);
        check(!chooseThrottleLift(0.01, tasks, settings));
    });
    section("the budget refills with time and the number of workers", [&] {
        eviction_budget budget(2);
        budget.refill(settings, 8, Start);
        budget.take();
        budget.take();
        check(!budget.canTake());
        budget.refill(settings, 8, Start + std::chrono::minutes(31));
        check(budget.canTake());
    });
    section("the operators' limit holds however many workers there are", [&] {
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

Test(placement, loadSignal)
{
    const load_signal_settings settings{4, 0.1, 0};
    load_signal signal;
    section("one bad sample does not raise it, a bad stretch does", [&] {
        for (const double excess : {-0.2, -0.2, 0.6, -0.2, -0.2})
            signal.add(excess, settings);
        check(!signal.isRaised());
        for (int index = 0; index < 4; ++index)
            signal.add(0.2, settings);
        check(signal.isRaised());
    });
    section("it stays up between the two levels", [&] {
        for (int index = 0; index < 4; ++index)
            signal.add(0.05, settings);
        check(signal.isRaised());
        for (int index = 0; index < 4; ++index)
            signal.add(-0.1, settings);
        check(!signal.isRaised());
    });
}
