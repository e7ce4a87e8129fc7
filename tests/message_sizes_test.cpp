// Tests that nothing is sent or stored that its receiver refuses for its size: at each limit of
// message_limits.h one text just within it and one beyond it, in ASCII and in UTF-8.
#include <algorithm>

#include <criterion/criterion.h>

#include "base/errors.h"
#include "jobs/message_limits.h"
#include "jobs/order_calls.h"
#include "jobs/run_table.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

const std::string Ascii = "a";
const std::string Georgian = "\u10d0"; // three bytes
const std::string Control = "\x01";    // six bytes in JSON

// As many of the character as `bytes` hold.
std::string textOf(const std::string &character, std::size_t bytes)
{
    std::string text;
    while (text.size() + character.size() <= bytes)
        text += character;
    return text;
}

std::vector<run_order> startsOf(int count, const std::string &payload,
                                const std::string &job = "aaaa000000000001")
{
    std::vector<run_order> orders;
    for (int index = 0; index < count; ++index) {
        run_order order;
        order.task = {job, 0, 0, index};
        order.run = 1;
        order.payload = payload;
        orders.push_back(order);
    }
    return orders;
}

// The calls carry all orders in their sequence, as the agent reads them, within `maxBytes`.
void checkCalls(const order_calls &divided, const std::vector<run_order> &orders,
                std::size_t maxBytes)
{
    check(divided.tooLarge.empty());
    std::vector<run_order> received;
    for (const auto &call : divided.calls) {
        check(call.text.size() <= maxBytes);
        const auto batch = orderBatchFrom(call.text);
        check(batch.orders.size() == call.orders.size());
        received.insert(received.end(), batch.orders.begin(), batch.orders.end());
    }
    require(received.size() == orders.size());
    for (std::size_t index = 0; index < orders.size(); ++index) {
        check(received[index].task == orders[index].task);
        check(received[index].kind == orders[index].kind);
        check(received[index].payload == orders[index].payload);
    }
}

order_calls divide(const std::vector<run_order> &orders, bool sharesPayloads,
                   std::size_t maxBytes = MaxOrderCallBytes)
{
    return makeOrderCalls({"entry-a", "10.0.0.1:7720", orders, sharesPayloads}, maxBytes);
}

worker_report reportWith(int ends, int progress, const std::string &checkpoint)
{
    worker_report report;
    for (int index = 0; index < ends; ++index)
        report.ends.push_back({index + 1, {"j", 0, 0, index}, 1, end_kind::Stopped, checkpoint});
    for (int index = 0; index < progress; ++index)
        report.progress.push_back({{"k", 0, 0, index}, 1, checkpoint});
    return report;
}

job_spec specOf(const std::string &payload, const std::string &image = "")
{
    job_spec spec;
    spec.payload = payload;
    spec.steps.emplace_back();
    spec.steps[0].image = image;
    return spec;
}

bool isRefused(const job_spec &spec)
{
    try {
        checkSpec(spec);
    } catch (const error &) {
        return true;
    }
    return false;
}

} // namespace

// Guards against an accepted job that never starts: the orders of its tasks for one worker are
// longer than its agent takes, and are refused each time.
Test(message_sizes, orders_of_a_wide_job_with_a_long_spec)
{
    for (const auto &character : {Ascii, Georgian, Control}) {
        const auto orders = startsOf(600, textOf(character, MaxPayloadBytes));
        section("an agent that takes shared payloads gets the spec once in a call", [&] {
            const auto divided = divide(orders, true);
            checkCalls(divided, orders, MaxOrderCallBytes);
            check(divided.calls.size() <= 2);
        });
        section("an agent of the previous release gets it with each order, in more calls",
                [&] { checkCalls(divide(orders, false), orders, MaxOrderCallBytes); });
    }
    section("characters above ASCII are not escaped", [] {
        const auto payload = textOf(Georgian, MaxPayloadBytes);
        check(divide(startsOf(1, payload), true).calls.at(0).text.find(payload)
              != std::string::npos);
    });
    section("a stop needs no spec", [] {
        auto orders = startsOf(2, "x");
        orders[1].kind = order_kind::Stop;
        orders[1].payload.clear();
        checkCalls(divide(orders, true), orders, MaxOrderCallBytes);
    });
    section("orders of several jobs keep their own specs", [] {
        auto orders = startsOf(3, "one");
        for (const auto &order : startsOf(3, "two", "aaaa000000000002"))
            orders.push_back(order);
        checkCalls(divide(orders, true), orders, MaxOrderCallBytes);
        checkCalls(divide(orders, true, 900), orders, 900);
    });
}

Test(message_sizes, the_limit_of_a_call_with_orders)
{
    const auto orders = startsOf(2, textOf(Georgian, 300));
    const auto whole = divide(orders, true).calls.at(0).text.size();
    section("at the limit it is one call",
            [&] { check(divide(orders, true, whole).calls.size() == 1); });
    section("beyond it, two", [&] { check(divide(orders, true, whole - 1).calls.size() == 2); });
    section("an order that is too large alone holds up no other", [&] {
        auto mixed = startsOf(5, "short");
        mixed[2].task.job = "aaaa000000000002";
        mixed[2].payload = textOf(Ascii, 2000);
        const auto divided = divide(mixed, true, 1500);
        require(divided.tooLarge.size() == 1);
        check(divided.tooLarge[0].orders.at(0).task == mixed[2].task);
        std::size_t sent = 0;
        for (const auto &call : divided.calls)
            sent += call.orders.size();
        check(sent == 4);
    });
    section("no order within the other limits is too large alone", [&] {
        auto largest = startsOf(1, textOf(Control, MaxPayloadBytes));
        largest[0].checkpoint = textOf(Control, MaxCheckpointBytes);
        largest[0].requirements.image = textOf(Control, MaxNameBytes);
        check(divide(largest, true).tooLarge.empty());
    });
    section("a batch without orders, which asks for reports, is one call",
            [] { check(divide({}, true).calls.size() == 1); });
}

// Guards against ends that are never stored: after a long outage, a report of all of them is longer
// than an entry takes.
Test(message_sizes, reports_after_an_outage)
{
    for (const auto &character : {Ascii, Georgian, Control}) {
        section("the longest checkpoints of 500 ends fit into reports that are sent in turn", [&] {
            auto left = reportWith(500, 200, textOf(character, MaxCheckpointBytes));
            std::size_t reported = 0;
            while (!left.ends.empty()) {
                auto report = left;
                check(textWithin(report, MaxEntryCallBytes).size() <= MaxEntryCallBytes);
                require(!report.ends.empty());
                check(report.ends[0].task == left.ends[0].task);
                reported += report.ends.size();
                left.ends.erase(left.ends.begin(),
                                left.ends.begin()
                                        + static_cast<std::ptrdiff_t>(report.ends.size()));
            }
            check(reported == 500);
        });
    }
    auto report = reportWith(4, 4, "c");
    const auto whole = toText(report).size();
    section("at the limit it is sent whole", [&] {
        check(textWithin(report, whole).size() == whole);
        check(report.progress.size() == 4);
    });
    section("beyond it, checkpoints of active runs wait, then ends", [&] {
        check(textWithin(report, whole - 1).size() < whole);
        check(report.progress.empty());
        check(report.ends.size() == 4);
        const auto withoutProgress = toText(report).size();
        textWithin(report, withoutProgress - 1);
        check(report.ends.size() == 2);
    });
}

// Guards against a job that is never stored again: its record with the checkpoints of all tasks is
// longer than a row.
Test(message_sizes, records_with_long_checkpoints)
{
    auto spec = specOf("x");
    spec.steps[0].count = 600;
    auto record = newRecord(spec, {}, 1000);
    const auto fill = [&record](const std::string &checkpoint) {
        for (auto &task : record.tasks[0][0]) {
            task.lastRun = 1;
            task.checkpoint = checkpoint;
        }
    };
    for (const auto &character : {Ascii, Georgian, Control}) {
        for (const std::size_t bytes : {std::size_t{16}, std::size_t{90}, MaxCheckpointBytes}) {
            fill(textOf(character, bytes));
            record.tasks[0][0][7].checkpoint = "short";
            const auto stored = toTextWithin(record, MaxRowBytes);
            check(stored.size() <= MaxRowBytes);
            check(recordFrom(stored).tasks[0][0][7].checkpoint == "short");
        }
    }
    fill("0123456789abcdef");
    const auto whole = toText(record).size();
    section("at the limit nothing is left out",
            [&] { check(toTextWithin(record, whole) == toText(record)); });
    section("beyond it, as few checkpoints as needed", [&] {
        const auto stored = recordFrom(toTextWithin(record, whole - 1));
        check(std::ranges::count_if(stored.tasks[0][0],
                                    [](const auto &task) { return task.checkpoint.empty(); })
              == 1);
    });
    section("the largest job that is accepted fits with a placement of each task", [&] {
        spec.steps[0].image = textOf(Ascii, MaxNameBytes);
        record = newRecord(spec, {}, 1000);
        for (auto &task : record.tasks[0][0]) {
            task.lastRun = 1;
            task.placements.push_back({"side-kartli-a-1", 3, 1, 1234});
        }
        check(toTextWithin(record, MaxRowBytes).size() <= MaxRowBytes);
    });
}

// Guards against a checkpoint that no order and no row can carry.
Test(message_sizes, checkpoints_of_workers)
{
    run_table table;
    const task_id task{"j", 0, 0, 0};
    const auto list = [&](const std::string &checkpoint) {
        run_listing listing;
        listing.running.push_back({task, 1, checkpoint, 0});
        table.applyListing(listing, time_point{std::chrono::hours(1)});
    };
    for (const auto &character : {Ascii, Georgian}) {
        list(textOf(character, MaxCheckpointBytes));
        check(table.progressFor("").at(0).checkpoint == textOf(character, MaxCheckpointBytes));
        list(textOf(character, MaxCheckpointBytes) + character);
        check(table.progressFor("").at(0).checkpoint == textOf(character, MaxCheckpointBytes));
    }
    section("an end with a longer one counts, without it", [&] {
        run_listing listing;
        listing.ended.push_back(
                {1, task, 1, end_kind::Stopped, textOf(Ascii, MaxCheckpointBytes + 1)});
        table.applyListing(listing, time_point{std::chrono::hours(1)});
        require(table.endsFor("e").size() == 1);
        check(table.endsFor("e")[0].checkpoint.empty());
    });
}

// Guards against a job that is accepted and can't be stored or ordered.
Test(message_sizes, jobs_beyond_the_limits_are_refused)
{
    for (const auto &character : {Ascii, Georgian, Control}) {
        const auto longest = textOf(character, MaxPayloadBytes);
        check(!isRefused(specOf(longest)));
        check(isRefused(specOf(longest + character)));
        const auto longestName = textOf(character, MaxNameBytes);
        check(!isRefused(specOf("x", longestName)));
        check(isRefused(specOf("x", longestName + character)));
    }
    section("a spec that is not UTF-8, which could not be passed on unchanged", [] {
        for (const std::string payload : {"\xff", "a\xc3", "\xed\xa0\x80", "\xc0\xaf"})
            check(isRefused(specOf(payload)));
        check(!isRefused(specOf(std::string("\xf0\x9f\x98\x80\0z", 6))));
    });
}
