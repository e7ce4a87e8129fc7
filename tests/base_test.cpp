// Tests of the base library: errors, event log, JSON, hashing, bounded ring.
#include <set>
#include <string>

#include "base/bounded_ring.h"
#include "base/errors.h"
#include "base/event_log.h"
#include "base/hash.h"
#include "base/json.h"
#include "base/json_values.h"
#include "base/time.h"
#include "section.h"

using namespace zinniabarrow;
using tests::section;

Test(base, error_table)
{
    section("the error table", [] {
        std::set<std::string_view> names;
        for (const auto &row : errorAnswers()) {
            check(answerFor(row.kind).name == row.name);
            check(errorKindNamed(row.name) == row.kind);
            names.insert(row.name);
        }
        section("each kind has a unique name",
                [&] { check(names.size() == errorAnswers().size()); });
        section("a retry elsewhere is allowed only if nothing was executed", [] {
            for (const auto &row : errorAnswers())
                check(!row.retryElsewhere || row.execution == executed::No);
        });
        section("every 503 has a retry delay", [] {
            for (const auto &row : errorAnswers())
                check(row.httpStatus != 503 || row.suggestedRetryDelay.count() > 0);
        });
    });
}

// Guards against losing the line that reports how a process ended: a burst of other lines had used
// up the byte budget.
Test(base, log_lines_beyond_the_budget)
{
    event_log log("entry", "entry-1", {0, 1});
    log.writeEvent("first", {});
    log.writeEvent("second", {});
    check(log.droppedCount() == 1);
    log.writeAlways("stopped", {});
    check(log.droppedCount() == 1);
}

Test(base, json_parsing)
{
    section("invalid text is rejected with its line number", [] {
        try {
            parseJson("{\n\"a\": 1,\n}");
            check(!"accepted");
        } catch (const error &problem) {
            check(problem.kind() == error_kind::BadRequest);
            check(std::string(problem.what()).find("Line 3") != std::string::npos);
        }
    });
    section("deep nesting is rejected without recursion", [] {
        try {
            parseJson(std::string(100000, '['));
            check(!"accepted");
        } catch (const error &problem) {
            check(problem.kind() == error_kind::BadRequest);
        }
    });
}

// Guards against a process that is held up, and grows, by a text of many small values: it is
// counted before it is parsed, and must not be counted short.
Test(base, json_values)
{
    section("members and elements of all levels count", [] {
        check(countJsonValues("{}") == 2);
        check(countJsonValues(R"({"a":[1,2,{"b":3}]})") == 6);
        check(countJsonValues("[[],[],[]]") == 7);
        check(countJsonValues("[1,2,3,4,5,6,7") == 8);
    });
    section("what stands in a string does not count", [] {
        check(countJsonValues(R"({"a":"1,2,3\\\"[[[{{{,,,\\","b":"})") == 3);
        check(countJsonValues(R"(["unfinished,[[[\)") == 2);
    });
}

Test(base, rendezvous_hashing)
{
    section("removing a member moves only its keys", [] {
        const std::vector<std::string> all{"a", "b", "c", "d"};
        const std::vector<std::string> fewer{"a", "b", "d"};
        for (int key = 0; key < 200; ++key) {
            const auto before = rendezvousOrder(std::to_string(key), all).front();
            const auto after = rendezvousOrder(std::to_string(key), fewer).front();
            check(before == "c" || before == after);
        }
    });
}

Test(base, bounded_ring)
{
    section("a full ring rejects new items and keeps the old ones", [] {
        bounded_ring<int> ring(2);
        check(ring.push(1));
        check(ring.push(2));
        check(!ring.push(3));
        check(ring.pop() == 1);
        check(ring.pop() == 2);
        check(!ring.pop());
    });
}
