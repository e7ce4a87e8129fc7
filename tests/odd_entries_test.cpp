// Tests that odd rows and messages, whoever wrote them, neither end a process nor stop it: each is
// read or refused with an error, and what is read is safe in its first use.
#include <string>

#include <criterion/criterion.h>

#include "app/entry_directory.h"
#include "app/job_view.h"
#include "app/unreadable_rows.h"
#include "app/worker_presence.h"
#include "base/errors.h"
#include "jobs/job_controller.h"
#include "jobs/message_limits.h"
#include "jobs/queues.h"
#include "jobs/run_table.h"
#include "jobs/throttle_controller.h"
#include "jobs/value_limits.h"
#include "jobs/worker_lease.h"
#include "odd_text.h"
#include "platform/caller_wire.h"
#include "platform/configuration_wire.h"
#include "platform/store_wire.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::odd_texts;
using zinniabarrow::tests::section;

namespace {

const time_point Start{std::chrono::hours(1)};
constexpr std::int64_t WallMs = 1'800'000'000'000;
const owner_id Former{"entry-b", 4};

// Reads each odd variant of the example by `use`, which may throw `error` alone.
template <typename Use>
void readOddVariants(const std::string &example, Use use)
{
    int refused = 0;
    int read = 0;
    const auto tryOne = [&](const std::string &text) {
        try {
            use(text);
            ++read;
        } catch (const error &) {
            ++refused;
        } catch (const std::exception &problem) {
            cr_expect_fail("%s: %s", text.substr(0, 300).c_str(), problem.what());
        }
    };
    tryOne(example);
    check(read == 1);
    const odd_texts odd(example);
    odd.forEachSingle(tryOne);
    odd.forEachDrawn(1, 400, tryOne);
    check(read > 0 && refused > 0);
}

// The store takes no longer ones.
const std::string &withinRow(const std::string &text)
{
    if (text.size() > MaxRowBytes)
        throw error(error_kind::BadRequest, "longer than a row");
    return text;
}

http_response answered(const std::string &body)
{
    return {200, {}, body};
}

worker_report exampleReport(const std::string &worker)
{
    worker_report report;
    report.worker = worker;
    report.address = "10.0.0.1:7720";
    report.agentIncarnation = 3;
    report.epoch = 2;
    report.clockMs = 5000;
    report.service = "tickets";
    report.zone = "z";
    report.kind = "a";
    report.rack = "r1";
    report.isAccepting = true;
    report.capacity = {16'000, 64'000, 1};
    report.used = {1000, 100, 0};
    report.usedByLongRunning = {1000, 100, 0};
    report.bestEffortMillicores = 500;
    report.failuresInRow = 1;
    report.serving.push_back({"web", 0.4, "j", true});
    report.bestEffortDemand["batch"] = 0.5;
    report.samples.push_back(
            {"web", 90, 100, {{"batch", 0.5}}, interference_change{0.1, {}, true}});
    report.wantsInterferenceTable = true;
    report.ends.push_back({4, {"j", 0, 0, 0}, 1, end_kind::Failed, "c"});
    report.progress.push_back({{"j", 0, 0, 1}, 1, "half"});
    report.started.push_back({{"j", 0, 0, 1}, 1});
    return report;
}

job_record exampleRecord()
{
    job_spec spec;
    step_spec first;
    first.count = 2;
    first.size = {500, 100, 0};
    first.estimateMs = 600;
    first.requiredLabel = "a";
    first.maxPerWorker = 1;
    first.isSpeculative = true;
    auto second = first;
    second.after = {0};
    second.isGang = true;
    second.prefersSameRack = true;
    second.dataRack = "r1";
    auto third = first;
    third.count = 1;
    third.isLongRunning = true;
    third.image = "web";
    third.latencyTargetMs = 100;
    third.maxUnavailable = 1;
    spec.steps = {first, second, third};
    spec.occurrences = 2;
    spec.firstOccurrenceMs = WallMs - 1000;
    spec.intervalMs = 500;
    auto record = newRecord(spec, {"holds", "tickets", 1, 3, 1.5, 400}, WallMs - 2000);
    record.owner = Former;
    record.writeId = "entry-b:4:1";
    auto &tasks = record.tasks[0][0];
    tasks[0].done = true;
    tasks[0].lastRun = 1;
    tasks[0].placements.push_back({"w2", 2, 2, 3});
    tasks[1].lastRun = 2;
    tasks[1].failures = 1;
    tasks[1].checkpoint = "half";
    tasks[1].placements.push_back({"w1", 2, 2, 3});
    tasks[1].unreportedRuns = {1};
    return record;
}

controller_settings settingsWith(bool allFeatures)
{
    controller_settings settings;
    settings.features = {allFeatures, allFeatures, allFeatures,
                         allFeatures, allFeatures, allFeatures};
    return settings;
}

// An entry with two workers. Lets a job that it owns go through all that an entry does with one.
struct entry_model
{
    explicit entry_model(bool allFeatures)
        : controller({"entry-a", 1}, workers, settingsWith(allFeatures))
    {
        for (const char *worker : {"w1", "w2"})
            workers.update(exampleReport(worker), now);
    }

    void plan()
    {
        now += milliseconds(700);
        wallMs += 700;
        controller.plan(now, wallMs);
        for (const auto &action : controller.takeActions()) {
            if (const auto *write = std::get_if<write_row>(&action)) {
                check(write->content.size() <= MaxRowBytes);
                check(recordFrom(write->content).writeId != "");
                controller.rowWritten(write->job, ++version);
            }
            if (const auto *order = std::get_if<send_order>(&action))
                orders.push_back(*order);
        }
    }

    void useJob()
    {
        for (int round = 0; round < 3; ++round) {
            plan();
            for (const auto &order : std::exchange(orders, {})) {
                const auto outcome = round == 1 ? order_outcome::NoRoom : order_outcome::Accepted;
                controller.orderAnswered(
                        order.worker,
                        {order.order.task, order.order.run, outcome, order.order.kind}, now, 0);
                const auto endKind = round == 0 ? end_kind::Failed : end_kind::Done;
                controller.runEnded(order.worker,
                                    {1, order.order.task, order.order.run, endKind, ""}, now, 9);
            }
        }
        for (const char *worker : {"w1", "w2"})
            controller.workerRestarted(worker, 3, now);
        plan();
        for (const auto &job : controller.ownedJobs())
            controller.cancel(job, 10);
        plan();
    }

    worker_pool workers;
    job_controller controller;
    time_point now{Start};
    std::int64_t wallMs = WallMs;
    std::int64_t version = 100;
    std::vector<send_order> orders;
};

const char *Announcement =
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,)"
        R"("state":"ready","cold-remaining-ms":0,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},)"
        R"("labels":["a","r1-3"],"clock-ms":482113,"seq":4,"born":17})";

const char *Listing = R"({"clock-ms":482113,"born":17,"running":[["j.0.0.1",2,"half",41,90]],)"
                      R"("ended":[[58,"j.0.0.0",1,"done","c"],[59,"j.0.0.2",1,"failed",""]]})";

std::optional<platform_wire::worker_announcement> announce(const std::string &body)
{
    http_request request;
    request.method = "POST";
    request.target = "/-/instances/i-7/heartbeat";
    request.body = body;
    return platform_wire::parseAnnouncement(request);
}

} // namespace

// Guards against an entry that ends again and again: it takes over a job whose record was changed
// by another writer, and indexes by a count that is not that of its list.
Test(odd_entries, records_of_jobs)
{
    const auto example = toText(exampleRecord());
    for (const bool allFeatures : {false, true}) {
        readOddVariants(example, [&](const std::string &text) {
            const auto record = recordFrom(withinRow(text));
            entry_model entry(allFeatures);
            entry.controller.adopt("j", record, 7, "payload");
            entry.useJob();
            job_view view;
            view.update("j", summaryOf(record), 7, entry.now);
            check(view.countWaiting("holds") <= 1);
        });
    }
    section("a count that is not the length of its list", [&] {
        auto text = example;
        text.replace(text.find("\"n\":2"), 5, "\"n\":2147483647");
        cr_expect_throw(recordFrom(text), error);
    });
}

// Guards against a job that is written no more: its row was changed by another writer while its
// owner had it.
Test(odd_entries, a_record_overwritten_while_it_is_owned)
{
    const auto ownerOf = [](entry_model &entry) {
        auto record = exampleRecord();
        entry.controller.adopt("j", record, 7, "payload");
        entry.controller.plan(entry.now, entry.wallMs);
        entry.controller.takeActions();
    };
    for (const std::string content : {"", "{", R"({"v":1,"o":[]})", R"({"v":"1"})", "[[["}) {
        entry_model entry(false);
        ownerOf(entry);
        entry.controller.rowConflict("j", 55, content);
        require(entry.controller.owns("j"));
        entry.controller.plan(entry.now, entry.wallMs);
        bool isWritten = false;
        for (const auto &action : entry.controller.takeActions()) {
            const auto *write = std::get_if<write_row>(&action);
            isWritten = isWritten || (write != nullptr && write->expectedVersion == 55);
        }
        check(isWritten);
    }
    section("a record of another release belongs to its writer", [&] {
        entry_model entry(false);
        ownerOf(entry);
        entry.controller.rowConflict("j", 55, R"({"v":2,"o":"entry-c"})");
        check(!entry.controller.owns("j"));
    });
}

// Guards against a record that is parsed and logged each time that an entry looks for jobs to take
// over.
Test(odd_entries, rows_that_cannot_be_read_are_parsed_once)
{
    unreadable_rows rows;
    check(rows.isDue("j", Start));
    check(!rows.isKnown("j", 7, Start));
    rows.noteUnreadable("j", 7, Start);
    section("others are not held up", [&] { check(rows.isDue("k", Start)); });
    section("it is read again after a while, to learn its version", [&] {
        check(!rows.isDue("j", Start + milliseconds(9999)));
        check(rows.isDue("j", Start + milliseconds(10'000)));
        check(rows.isKnown("j", 7, Start + milliseconds(10'000)));
        check(!rows.isDue("j", Start + milliseconds(19'999)));
    });
    section("a new version is parsed again", [&] {
        check(!rows.isKnown("j", 8, Start + milliseconds(20'000)));
        rows.noteReadable("j");
        check(rows.isDue("j", Start) && rows.size() == 0);
    });
}

Test(odd_entries, summaries_of_jobs)
{
    readOddVariants(toText(summaryOf(exampleRecord())), [](const std::string &text) {
        job_view view;
        view.update("j", summaryFrom(text), 7, Start);
        check(view.countWaiting("holds") <= 1);
        entry_model entry(false);
        entry.controller.adopt("j", exampleRecord(), 6, "payload");
        entry.controller.rowChanged("j", summaryFrom(text), 7);
        entry.plan();
    });
}

// Guards against a worker that stays unused for good: the row of its lease can't be read.
Test(odd_entries, leases)
{
    const lease_row example{3, 4, 17, "1700", false, "agent:4:17", 500'000};
    readOddVariants(toText(example), [](const std::string &text) {
        const auto row = leaseFrom(text);
        lease_expiry_detector detector;
        detector.observe("w1", row, 7, 400'000, Start);
        worker_lease lease("w1");
        lease.acquireFence();
        lease.rowRead(row, 7, Start);
        lease.rowWritten(8, Start);
        lease.reconcile("1800", false, Start);
        lease.rowWritten(9, Start);
        lease.renew(Start);
        for (const auto &action : lease.takeActions()) {
            if (const auto *write = std::get_if<write_lease>(&action))
                check(write->row.epoch >= 0 && write->row.fence > row.fence);
        }
    });
    section("a row that can't be read stands for an epoch that has ended", [] {
        worker_lease lease("w1");
        lease.acquireFence();
        lease.rowRead(endedLeaseAfter(1200), 1200, Start);
        lease.rowWritten(1201, Start);
        section("whatever runs is stopped first",
                [&] { check(lease.reconcile("1700", true, Start)); });
        check(!lease.reconcile("1700", false, Start));
        lease.rowWritten(1202, Start);
        check(lease.isSettled());
        check(lease.fence() == 1201);
        std::int64_t epoch = 0;
        for (const auto &action : lease.takeActions()) {
            if (const auto *settled = std::get_if<epoch_settled>(&action))
                epoch = settled->epoch;
        }
        check(epoch == 1201);
    });
}

Test(odd_entries, rows_of_entries)
{
    const entry_row example{5, "10.0.0.1:7720", "10.0.0.1:8161", 100};
    readOddVariants(toText(example), [](const std::string &text) {
        entry_directory directory("entry-a", Start, 100);
        directory.updateRow("entry-b", entryRowFrom(text));
        directory.recordHeartbeat("entry-b", 5, false, Start);
        directory.recordRole(Start);
        check(directory.liveInternalAddresses(Start).size() <= 1);
        directory.placersFor("j", Start);
        directory.placerOf("tickets", Start);
        directory.successorOf("j", Former, {"entry-a", 1}, Start + seconds(60));
    });
}

Test(odd_entries, learned_run_times)
{
    run_times learned;
    learned.recordDone({{"holds", "web"}, 600, {}, 2}, milliseconds(500));
    learned.recordFailed({{"holds", "web"}, 600, {}, 2}, milliseconds(100));
    readOddVariants(toText(learned.newsToStore()), [](const std::string &text) {
        run_times times;
        times.adopt(profilesFrom(text));
        const auto expectedMs = times.quantileMs({{"holds", "web"}, 600, {}, 2}, 0.5);
        check(expectedMs >= 0);
        times.recordDone({{"holds", "web"}, 600, {}, 2}, milliseconds(500));
        check(toText(times.newsToStore()).size() > 0);
    });
}

Test(odd_entries, orders)
{
    run_order order;
    order.task = {"j", 0, 0, 1};
    order.run = 2;
    order.epoch = 2;
    order.agentIncarnation = 3;
    order.startDeadlineMs = 3'600'500;
    order.payload = "payload";
    order.checkpoint = "half";
    order.requirements = {{500, 100, 0}, false, true, "web", 100, 2000, 1};
    auto stop = order;
    stop.kind = order_kind::Stop;
    const order_batch batch{"entry-a", "10.0.0.1:7720", {order, stop}, true};
    readOddVariants(toText(batch), [](const std::string &text) {
        run_table table;
        table.setWorkerState({16'000, 64'000, 1}, start_readiness::Ready);
        table.setEpoch(2);
        table.setAgentIncarnation(3);
        const auto received = orderBatchFrom(text);
        for (const auto &each : received.orders) {
            table.handleOrder(each, received.owner, Start);
            table.takeDueActions(Start, true);
            table.startCalled(each.task, each.run, 2000);
            table.startAnswered(each.task, each.run, start_answer::Started, Start);
        }
        check(table.used().millicores >= 0);
        check(table.bestEffortMillicores() >= 0);
        table.servingSamples();
        table.takeDueActions(Start + seconds(10), true);
    });
    section("answers to orders", [&] {
        const std::vector<order_answer> answers{
                {order.task, 2, order_outcome::NoRoom, order_kind::Start}};
        readOddVariants(toText(answers), [](const std::string &text) {
            entry_model entry(false);
            entry.controller.adopt("j", exampleRecord(), 7, "payload");
            entry.plan();
            for (const auto &answer : orderAnswersFrom(text))
                entry.controller.orderAnswered("w1", answer, entry.now, 3);
            entry.plan();
        });
    });
    section("jobs that are handed over", [] {
        readOddVariants(toText(forwarded_job{exampleRecord(), "payload"}),
                        [](const std::string &text) {
                            const auto job = forwardedJobFrom(text);
                            entry_model entry(false);
                            entry.controller.submit("j", specOf(job), job.record.policy, WallMs,
                                                    entry.now, 1);
                            entry.useJob();
                        });
    });
}

Test(odd_entries, reports_of_agents)
{
    for (const bool allFeatures : {false, true}) {
        readOddVariants(toText(exampleReport("w1")), [&](const std::string &text) {
            const auto report = reportFrom(text);
            entry_model entry(allFeatures);
            entry.controller.adopt("j", exampleRecord(), 7, "payload");
            entry.workers.update(report, entry.now);
            for (const auto &sample : report.samples)
                entry.workers.interferenceEstimator().learn(sample);
            for (const auto &end : report.ends)
                entry.controller.runEnded(report.worker, end, entry.now, 9);
            for (const auto &progress : report.progress)
                entry.controller.checkpointReported(report.worker, progress);
            for (const auto &run : report.started)
                entry.controller.runStarted(run, entry.now);
            entry.controller.workerRestarted(report.worker, report.epoch, entry.now);
            entry.controller.workerReported(report.worker, entry.now);
            entry.useJob();
        });
    }
    section("their answers", [] {
        report_answer answer;
        answer.acknowledged.push_back({{"j", 0, 0, 0}, 1, end_kind::Done});
        answer.notOwned.push_back({{"j", 0, 0, 1}, 1, end_kind::Failed});
        answer.interference["web"] = {80, {{"batch", 0.2}}};
        answer.minReportInterval = milliseconds(200);
        answer.zoneEvacuated = true;
        answer.slack.push_back({{"j", 0, 0, 0}, 1, 500});
        readOddVariants(toText(answer), [](const std::string &text) {
            auto received = reportAnswerFrom(text);
            run_table table;
            for (const auto &end : received.acknowledged)
                table.acknowledgeEnd(end, Start);
            for (const auto &end : received.notOwned)
                table.noteNotOwned(end, "entry-a");
            for (const auto &slack : received.slack)
                table.setSlack(slack, "entry-a");
            throttle_controller throttle;
            throttle.setInterference(std::move(received.interference));
            const std::vector<serving_sample> serving{{{"j", 0, 0, 0}, 1, "web", 120, 100}};
            const std::vector<best_effort_run> filling{
                    {{"k", 0, 0, 0}, 1, "batch", 0.5, 0.5, {}, false}};
            throttle.takeSamples(serving, filling);
            throttle.decideSpeeds(serving, filling, Start);
        });
    });
}

// Guards against ends that are forgotten before they are stored, and against lists that end their
// reader: one odd row stands among those that a worker lists.
Test(odd_entries, lists_of_workers)
{
    readOddVariants(Listing, [](const std::string &text) {
        const auto hold = platform_wire::parseHoldResult(answered(text));
        if (!hold)
            throw error(error_kind::BadRequest, "treated like no answer");
        run_table table;
        table.setWorkerState({16'000, 64'000, 1}, start_readiness::Ready);
        table.setEpoch(2);
        table.applyListing(hold->listing, Start);
        check(table.acknowledgedThrough() <= MaxCounter);
        check(table.endsFor("entry-a").size() == table.endsFor("entry-b").size());
        table.takeDueActions(Start + seconds(10), true);
        table.applyListing(hold->listing, Start);
        table.progressFor("");
        worker_presence presence;
        presence.handlePollAnswer(hold->workerStartMs, Start);
    });
    const auto endsOf = [](const std::string &oddRow) {
        const auto hold = platform_wire::parseHoldResult(
                answered(R"({"clock-ms":1,"running":[)" + oddRow + R"(],"ended":[)" + oddRow
                         + R"(,[1,"j.0.0.0",1,"done",""]]})"));
        return hold ? hold->listing.ended.size() : 0;
    };
    for (const std::string row :
         {"7", "null", "{}", "[]", R"([2,"j.0.0.1",-1,"done",""])", R"([-2,"j.0.0.1",1,"done",""])",
          R"([9223372036854775807,"j.0.0.1",1,"done",""])",
          R"([2,"j.0.0.1",99999999999,"done",""])", R"([2,"j.0.0.1",1,"unknown",""])",
          R"([1e400,"j.0.0.1",1,"done",""])"}) {
        check(endsOf(row) == 1);
    }
    const std::string deep = std::string(5000, '[') + std::string(5000, ']');
    check(endsOf(deep) == 1);
    check(endsOf(R"([2,"\\\"[",1,"done",)" + deep + "]") == 1);
}

// Guards against a check-in of another writer that is taken for one of the worker.
Test(odd_entries, announcements_of_workers)
{
    readOddVariants(Announcement, [](const std::string &text) {
        const auto announcement = announce(text);
        if (!announcement)
            throw error(error_kind::BadRequest, "refused");
        worker_presence presence;
        presence.handleAnnouncement(*announcement);
        run_table table;
        table.setWorkerState(announcement->capacity, start_readiness::Ready);
        table.setEpoch(1);
        run_order order;
        order.task = {"j", 0, 0, 0};
        order.run = 1;
        order.epoch = 1;
        order.requirements.size = {MaxAmount, MaxAmount, MaxAmount};
        table.handleOrder(order, "entry-a", Start);
        auto report = exampleReport("w1");
        report.capacity = announcement->capacity;
        entry_model entry(true);
        entry.workers.update(report, entry.now);
        entry.controller.adopt("j", exampleRecord(), 7, "payload");
        entry.plan();
    });
    const auto withAddress = [](const std::string &address) {
        std::string text = Announcement;
        const std::string usual = "10.0.0.9:80";
        return announce(text.replace(text.find(usual), usual.size(), address));
    };
    check(withAddress("10.0.0.9:65535").has_value());
    for (const char *address :
         {"10.0.0.9:99999", "10.0.0.9:-1", "10.0.0.9", ":80", "", "10.0.0.9:x"})
        check(!withAddress(address).has_value());
}

Test(odd_entries, jobs_of_callers)
{
    const std::string example =
            R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem-mb":256,"gpu":0,"estimate-ms":900,)"
            R"("affinity":"r1-3"},{"count":2,"cpu":2000,"after":[0],"checkpointing":true,"gang":true,)"
            R"("anti-affinity":2,"long-running":true,"target-ms":150,"may-miss":1,"image":"i",)"
            R"("fills":false,"requires":"a","same-rack":true,"speculative":true}],)"
            R"("run-count":2,"initial-delay-ms":1800000000000,"interval-ms":500})";
    for (const bool allFeatures : {false, true}) {
        readOddVariants(example, [&](const std::string &text) {
            const auto spec = platform_wire::parseJobSpec(text);
            entry_model entry(allFeatures);
            entry.controller.submit("j", spec, {"holds", "tickets", 1, 3, 1.5, 400}, WallMs,
                                    entry.now, 1);
            entry.useJob();
        });
    }
    section("times and sizes out of range are refused", [&] {
        for (const char *value : {"-1", "9223372036854775807"}) {
            auto text = example;
            text.replace(text.find("\"target-ms\":150") + 12, 3, value);
            cr_expect_throw(platform_wire::parseJobSpec(text), error);
        }
    });
}

Test(odd_entries, configurations_and_pages_of_the_store)
{
    const std::string configuration =
            R"({"version":7,"routes":[{"name":"q","host":"h","prefix":"/p/","service":"tickets",)"
            R"("priority":1,"max-attempts":3,"stretch":1.5,"target-latency-ms":400}]})";
    readOddVariants(configuration, [](const std::string &text) {
        const queue_table table(platform_wire::parseConfiguration(withinRow(text)));
        const auto found = table.find("h", "/p/0123456789abcdef");
        if (!found)
            return;
        entry_model entry(true);
        job_spec spec;
        spec.steps.emplace_back();
        entry.controller.submit("j", spec, found->route->policy, WallMs, entry.now, 1);
        entry.useJob();
    });
    const std::string page =
            R"({"rows":[{"table":"t","part":"p","key":"k","value":"YQ==","ver":3},)"
            R"({"table":"t","part":"p","key":"l","removed":true,"ver":4}],)"
            R"("more-pages":false,"ver":9,"now-ms":5})";
    readOddVariants(page, [](const std::string &text) {
        const auto rows = platform_wire::parseRowsResult(answered(text));
        const auto feed = platform_wire::parseFeedResult(answered(text));
        platform_wire::parseCommitResult(answered(text));
        if (!rows || !feed)
            throw error(error_kind::BadRequest, "treated like no answer");
    });
}
