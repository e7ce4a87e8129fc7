// Claims on idempotency keys: number of writes, lifetime, outages of the table.
#include <fmt/core.h>

#include "delivery_simulation.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::delivery;
using tests::delivery_simulation;
using tests::fault;
using tests::section;

namespace {

// Sends orders with different idempotency keys evenly over one second, half through each entry.
void sendBurst(delivery_simulation &simulation, int orders, int keyOffset = 0)
{
    for (int i = 0; i < orders; ++i) {
        const std::string entry = i % 2 == 0 ? "e1" : "e2";
        simulation.send(fmt::format("{}/{}-{}", entry, keyOffset, i), entry,
                        milliseconds(100 + i * 1000 / orders), "POST",
                        fmt::format("k{}", i + keyOffset), 1, milliseconds(5000));
    }
}

int countOf(const delivery_simulation &simulation, const std::string &answer)
{
    int count = 0;
    for (const auto &[id, answers] : simulation.answers)
        count += static_cast<int>(std::count(answers.begin(), answers.end(), answer));
    return count;
}

duration latencyPercentile(const delivery_simulation &simulation, double share)
{
    std::vector<duration> latencies;
    for (const auto &[id, at] : simulation.answeredAt)
        latencies.push_back(at - simulation.sentAt.at(id));
    std::sort(latencies.begin(), latencies.end());
    return latencies.at(
            static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1)));
}

} // namespace

// The platform accepts several hundred writes a second from all its users together, so the claims
// of a burst must share transactions.
Test(claim_coordinator, writes_of_a_burst)
{
    delivery_simulation simulation;
    simulation.refusingAgents.clear();
    sendBurst(simulation, 800);
    simulation.runUntil(milliseconds(10'000));
    const auto transactions = static_cast<double>(simulation.transactions);
    const auto rows = static_cast<double>(simulation.rowsWritten);
    fmt::print("burst of 800: {} transactions, {} rows, p50 {} us, p99 {} us\n",
               simulation.transactions, simulation.rowsWritten,
               latencyPercentile(simulation, 0.5).count(),
               latencyPercentile(simulation, 0.99).count());
    section("every order is answered", [&] { check(countOf(simulation, "passed") == 800); });
    section("two rows are written per order: its claim and its end",
            [&] { check(rows <= 2.01 * 800); });
    section("the number of transactions depends on time, not on the orders",
            [&] { check(transactions <= 0.16 * 800); });
    section("a claim adds no more than a commit and a commitInterval",
            [&] { check(latencyPercentile(simulation, 0.99) <= milliseconds(27 + 2 + 20 + 3)); });
}

// At ordinary load with random arrival times, a claim costs its round trip to the table and almost
// no wait.
Test(claim_coordinator, latency_at_ordinary_load)
{
    delivery_simulation simulation;
    simulation.refusingAgents.clear();
    random_generator random(7);
    for (int i = 0; i < 600; ++i) {
        const std::string entry = i % 2 == 0 ? "e1" : "e2";
        simulation.send(fmt::format("{}/{}", entry, i), entry,
                        milliseconds(100 + drawIndex(random, 10'000)), "POST",
                        fmt::format("k{}", i));
    }
    simulation.runUntil(milliseconds(12'000));
    fmt::print("60 requests with a key a second: {} transactions, p50 {} us, p99 {} us\n",
               simulation.transactions, latencyPercentile(simulation, 0.5).count(),
               latencyPercentile(simulation, 0.99).count());
    check(countOf(simulation, "passed") == 600);
    check(latencyPercentile(simulation, 0.5) <= milliseconds(29));
    check(latencyPercentile(simulation, 0.99) <= milliseconds(35));
    check(simulation.transactions <= 1.5 * 600);
}

// Requests at e2 reuse keys that e1 has claimed, in one transaction with new keys. The conflict of
// one row must not fail the others: all rows are read at once, and the others are sent again.
Test(claim_coordinator, conflict_in_a_batch)
{
    delivery_simulation simulation;
    simulation.refusingAgents.clear();
    simulation.settings.claims.commitBurst = 1; // what arrives together goes in one transaction
    simulation.flow("e2");
    for (int i = 0; i < 40; ++i)
        simulation.send(fmt::format("e1/{}", i), "e1", milliseconds(100), "POST",
                        fmt::format("k{}", i));
    for (int i = 0; i < 60; ++i)
        simulation.send(fmt::format("e2/{}", i), "e2", milliseconds(400), "POST",
                        fmt::format("k{}", i + 20));
    simulation.runUntil(milliseconds(300));
    const auto before = simulation.transactions;
    simulation.runUntil(milliseconds(2000));
    check(countOf(simulation, "passed") == 80);
    check(countOf(simulation, "replayed") == 20);
    check(simulation.transactions - before <= 6);
}

Test(claim_coordinator, repeats)
{
    delivery_simulation simulation;
    simulation.refusingAgents.clear();
    simulation.settings.claims.maxAnswerBytes = 8;
    simulation.send("e1/1", "e1", milliseconds(100), "POST", "k");
    simulation.send("e2/same", "e2", milliseconds(600), "POST", "k");
    simulation.send("e2/other", "e2", milliseconds(700), "POST", "k", 2);
    simulation.send("e1/other", "e1", milliseconds(700), "POST", "k", 2);
    simulation.send("e1/long-name", "e1", milliseconds(800), "POST", "big");
    simulation.send("e2/big", "e2", milliseconds(1500), "POST", "big");
    simulation.send("e1/get", "e1", milliseconds(1600), "GET", "k");
    simulation.send("e1/endless", "e1", milliseconds(1600), "POST", std::string(300, 'x'));
    simulation.runUntil(milliseconds(2000));
    section("a repeat with another body is refused through either entry", [&] {
        check(simulation.answers["e2/other"].front() == "key_reused");
        check(simulation.answers["e1/other"].front() == "key_reused");
    });
    section("a repeat gets the stored answer",
            [&] { check(simulation.answers["e2/same"].front() == "replayed"); });
    section("a repeat without a stored answer is told that the request was executed", [&] {
        check(simulation.answers["e2/big"].front() == "already_executed");
        check(simulation.refusals["e2/big"].front().executionState == executed::Yes);
    });
    section("a repeat is told that the outcome is unknown if its entry no longer knows its claim",
            [&] {
                const auto key = claimRowKey("tickets", "kartli", "lost");
                simulation.send("e2/lost", "e2", milliseconds(2100), "POST", "lost");
                simulation.runUntil(milliseconds(2500));
                auto row = claimRowFromJson(simulation.platform.read(key)->value);
                row.entryId = "e1";
                row.state = claim_state::Started;
                simulation.platform.commit({"test", {}, {{key, toJson(row)}}});
                simulation.send("e1/lost", "e1", milliseconds(2600), "POST", "lost");
                simulation.runUntil(milliseconds(3000));
                check(simulation.answers["e1/lost"].front() == "outcome_unknown");
            });
    section("a GET needs no claim",
            [&] { check(simulation.answers["e1/get"].front() == "passed"); });
    section("a key that is too long is refused",
            [&] { check(simulation.answers["e1/endless"].front() == "bad_request"); });
}

// The table refuses or does not respond for two seconds. Keyed POST requests are refused at once as
// not run. Idempotent requests and those without a key go on, since they need no claim to be safe.
Test(claim_coordinator, outage)
{
    for (const auto kind : {fault::TableRefuses, fault::TableHangs}) {
        delivery_simulation simulation;
        simulation.refusingAgents.clear();
        simulation.send("e1/warm", "e1", milliseconds(100), "POST", "warm");
        simulation.runUntil(milliseconds(490));
        simulation.faults[simulation.step + 1] = kind; // affects the next message
        int sent = 0;
        for (int at = 500; at < 2300; at += 100) {
            for (const auto *method : {"POST", "PUT"}) {
                simulation.send(fmt::format("e1/{}{}", method, at), "e1", milliseconds(at), method,
                                fmt::format("{}{}", method, at));
            }
            simulation.send(fmt::format("e1/plain{}", at), "e1", milliseconds(at), "POST", "");
            ++sent;
        }
        simulation.send("e1/after", "e1", milliseconds(3500), "POST", "POST1000");
        simulation.runUntil(milliseconds(10'000));
        check(countOf(simulation, "platform_unavailable") == sent);
        check(countOf(simulation, "passed") == 2 * sent + 2);
        check(simulation.flow("e1").openClaims() == 0);
        // Only a table that does not respond makes callers wait, and only those whose requests
        // arrive before the outage is noticed: a commit and the read that follows time out (602 ms
        // here), and six times two requests with a key arrive meanwhile.
        int slow = 0;
        for (const auto &[id, at] : simulation.answeredAt)
            slow += at - simulation.sentAt.at(id) > milliseconds(100) ? 1 : 0;
        check(slow <= (kind == fault::TableHangs ? 12 : 0));
        check(latencyPercentile(simulation, 1) <= milliseconds(650));
    }
}

// The table fails under load, while claims are uncertain and outcomes wait to be written. An entry
// must not send a request to the table for each of them: it sends one probe at a time, and
// completes all claims when the table is back.
Test(claim_coordinator, outage_under_load)
{
    for (const auto kind : {fault::TableRefuses, fault::TableHangs}) {
        delivery_simulation simulation;
        simulation.refusingAgents.clear();
        sendBurst(simulation, 800);
        simulation.runUntil(milliseconds(400));
        simulation.faults[simulation.step + 1] = kind;
        simulation.runUntil(milliseconds(1200));
        const auto before = simulation.tableCalls;
        simulation.runUntil(milliseconds(2300));
        fmt::print("calls in 1.1 s of outage: {}\n", simulation.tableCalls - before);
        check(simulation.tableCalls - before <= 10);
        simulation.runUntil(milliseconds(10'000));
        check(simulation.flow("e1").openClaims() + simulation.flow("e2").openClaims() == 0);
        check(countOf(simulation, "passed") + countOf(simulation, "platform_unavailable") == 800);
    }
}

// The table applies a claim 700 ms late, long after its request was refused as not run. The row
// would stay "started" for ever and block the order, so a row with "not run" must prevent it.
Test(claim_coordinator, claim_that_applies_late)
{
    delivery_simulation simulation;
    simulation.refusingAgents.clear();
    simulation.send("e1/warm", "e1", milliseconds(100), "POST", "warm");
    simulation.runUntil(milliseconds(490));
    simulation.faults[simulation.step + 2] = fault::WriteDelayed; // after the arrival: the commit
    simulation.send("e1/1", "e1", milliseconds(500), "POST", "k", 1, milliseconds(200));
    simulation.send("e2/2", "e2", milliseconds(3000), "POST", "k");
    simulation.runUntil(milliseconds(5000));
    check(simulation.answers["e1/1"].front() == "deadline_passed");
    check(simulation.answers["e2/2"].front() == "passed");
    check(simulation.runsByOrder["k"] == 1);
}

// The entry is stopped while the table is unavailable. The caller has been answered, but the
// outcome must still be written so that a repeat through another entry gets the answer. The entry
// waits for that, but at most for drainTimeout.
Test(claim_coordinator, drain_in_an_outage)
{
    for (const int drainTime : {500, 5000}) {
        delivery_simulation simulation;
        simulation.refusingAgents.clear();
        simulation.settings.drainTimeout = milliseconds(drainTime);
        simulation.send("e1/1", "e1", milliseconds(100), "POST", "k");
        simulation.runUntil(milliseconds(140));
        check(simulation.answers["e1/1"].front() == "passed");
        simulation.faults[simulation.step + 1] =
                fault::TableRefuses; // from 150 ms on, for two seconds
        simulation.drain("e1", milliseconds(150));
        simulation.runUntil(milliseconds(10'000));
        const auto row = simulation.platform.read(claimRowKey("tickets", "kartli", "k"));
        const auto drainedAt = simulation.drainedAt.at("e1");
        if (drainTime == 500) {
            check(drainedAt == time_point(milliseconds(650)));
            continue;
        }
        check(claimRowFromJson(row->value).state == claim_state::Finished);
        check(drainedAt >= time_point(milliseconds(2150)));
        check(drainedAt <= time_point(milliseconds(2500)));
    }
}

// The table does not respond for longer than claimTimeout.
Test(claim_coordinator, claim_timeout)
{
    delivery_simulation simulation;
    simulation.refusingAgents.clear();
    simulation.settings.claims.claimTimeout = milliseconds(100);
    simulation.send("e1/warm", "e1", milliseconds(100), "POST", "warm");
    simulation.runUntil(milliseconds(490));
    simulation.faults[simulation.step + 1] = fault::TableHangs;
    simulation.send("e1/1", "e1", milliseconds(500), "POST", "k");
    simulation.runUntil(milliseconds(5000));
    check(simulation.answers["e1/1"].front() == "platform_unavailable");
    check(latencyPercentile(simulation, 1) == milliseconds(100));
}

// Keys live for a stated time, and no row stays for ever. Entries increment the era only after they
// have seen it unchanged for eraDuration, so a row may live longer than stated, never shorter.
Test(claim_coordinator, key_lifetime)
{
    delivery_simulation simulation;
    simulation.refusingAgents.clear();
    simulation.settings.maxRequestTime = milliseconds(1000);
    simulation.settings.lateOutcomeTimeout = milliseconds(1000);
    simulation.settings.claims.eraDuration = milliseconds(4000);
    simulation.settings.claims.keyLifetimeEras = 3;
    simulation.settings.claims.sweepInterval = milliseconds(1);
    sendBurst(simulation, 200);
    simulation.runUntil(milliseconds(3000));
    check(simulation.platform.scan("claim/").size() == 200);
    sendBurst(simulation, 200, 1000);
    section("within its lifetime a key is known, also to an entry without cached claims", [&] {
        simulation.send("e3/repeat", "e3", milliseconds(12'000), "POST", "k7");
        simulation.runUntil(milliseconds(12'500));
        check(simulation.answers["e3/repeat"].front() == "replayed");
    });
    section("after its lifetime the rows are removed in limited batches", [&] {
        simulation.runUntil(milliseconds(40'000));
        check(simulation.platform.scan("claim/").empty());
        check(simulation.counts["claim_swept"] >= 400);
    });
}

// Another entry has incremented the era, and this one has not noticed. A claim written with the old
// era would be removed too early, and a late repeat would run again.
Test(claim_coordinator, outdated_era)
{
    delivery_simulation simulation;
    simulation.refusingAgents.clear();
    simulation.send("e1/1", "e1", milliseconds(100), "POST", "k1");
    simulation.runUntil(milliseconds(1000));
    Json::Value newEra(Json::objectValue);
    newEra["era"] = 9;
    simulation.platform.commit({"other", {}, {{"claim-era", newEra}}});
    simulation.send("e1/2", "e1", milliseconds(1100), "POST", "k2");
    simulation.runUntil(milliseconds(2000));
    check(simulation.answers["e1/2"].front() == "passed");
    const auto row = simulation.platform.read(claimRowKey("tickets", "kartli", "k2"));
    check(claimRowFromJson(row->value).era == 9);
}

Test(claim_coordinator, cache_and_rows)
{
    section("cached claims are limited by the bytes of their answers", [] {
        delivery_simulation simulation;
        simulation.refusingAgents.clear();
        simulation.settings.claims.maxCachedBytes = 60; // an answer here has 7 or 8 bytes
        sendBurst(simulation, 100);
        simulation.runUntil(milliseconds(3000));
        check(countOf(simulation, "passed") == 100);
        check(simulation.flow("e1").openClaims() == 0);
        check(simulation.flow("e1").cachedAnswerBytes() <= 60);
        check(simulation.flow("e1").cachedAnswerBytes() >= 50);
    });
    section("keys of two services or teams never share a row", [] {
        check(claimRowKey("a", "b/c", "k") != claimRowKey("a/b", "c", "k"));
        check(claimRowKey("a", "b", "k") != claimRowKey("a", "", "b/k"));
    });
    section("the error for an unreadable row names the member", [] {
        try {
            claimRowFromJson(parseJson(R"({"request":"r","entry":"e","hash":"x"})"));
            check(!"accepted");
        } catch (const error &problem) {
            check(std::string(problem.what()).find("hash") != std::string::npos);
        }
    });
}
