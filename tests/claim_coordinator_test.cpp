// Claims on keys: their cost in writes, their life, and what an outage of the table does.
#include <fmt/core.h>

#include "delivery_simulation.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::delivery;
using tests::delivery_world;
using tests::fault;
using tests::section;

namespace {

// Keyed orders sent evenly over a second, half through each entry.
void sendBurst(delivery_world &world, int orders, int keyOffset = 0)
{
    for (int i = 0; i < orders; ++i) {
        const std::string entry = i % 2 == 0 ? "e1" : "e2";
        world.send(fmt::format("{}/{}-{}", entry, keyOffset, i), entry,
                   milliseconds(100 + i * 1000 / orders), "POST", fmt::format("k{}", i + keyOffset),
                   1, milliseconds(5000));
    }
}

int countOf(const delivery_world &world, const std::string &answer)
{
    int count = 0;
    for (const auto &[id, answers] : world.answers)
        count += static_cast<int>(std::count(answers.begin(), answers.end(), answer));
    return count;
}

duration latencyPercentile(const delivery_world &world, double share)
{
    std::vector<duration> latencies;
    for (const auto &[id, at] : world.answeredAt)
        latencies.push_back(at - world.sentAt.at(id));
    std::sort(latencies.begin(), latencies.end());
    return latencies.at(
            static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1)));
}

} // namespace

// The platform takes several hundred writes a second from everyone.
Test(claim_book, writes_of_a_burst)
{
    delivery_world world;
    world.refusing.clear();
    sendBurst(world, 800);
    world.runUntil(milliseconds(10'000));
    const auto transactions = static_cast<double>(world.transactions);
    const auto rows = static_cast<double>(world.rowsWritten);
    fmt::print("burst of 800: {} transactions, {} rows, p50 {} us, p99 {} us\n", world.transactions,
               world.rowsWritten, latencyPercentile(world, 0.5).count(),
               latencyPercentile(world, 0.99).count());
    section("each order is answered", [&] { check(countOf(world, "passed") == 800); });
    section("two rows for each order: its claim and its end", [&] { check(rows <= 2.01 * 800); });
    section("transactions follow the time, not the orders",
            [&] { check(transactions <= 0.16 * 800); });
    section("the claim costs a commit and its gap, no more",
            [&] { check(latencyPercentile(world, 0.99) <= milliseconds(27 + 2 + 20 + 3)); });
}

// An ordinary load, at random times: a claim costs its round trip to the table and next to no wait.
Test(claim_book, latency_at_ordinary_load)
{
    delivery_world world;
    world.refusing.clear();
    random_generator random(7);
    for (int i = 0; i < 600; ++i) {
        const std::string entry = i % 2 == 0 ? "e1" : "e2";
        world.send(fmt::format("{}/{}", entry, i), entry,
                   milliseconds(100 + pickIndex(random, 10'000)), "POST", fmt::format("k{}", i));
    }
    world.runUntil(milliseconds(12'000));
    fmt::print("60 keyed a second: {} transactions, p50 {} us, p99 {} us\n", world.transactions,
               latencyPercentile(world, 0.5).count(), latencyPercentile(world, 0.99).count());
    check(countOf(world, "passed") == 600);
    check(latencyPercentile(world, 0.5) <= milliseconds(29));
    check(latencyPercentile(world, 0.99) <= milliseconds(35));
    check(world.transactions <= 1.5 * 600);
}

// Callers of e2 reuse keys that e1 has claimed, in one batch with new keys. The conflict of one row
// must not fail the others: all are read at once, and the rest goes out again.
Test(claim_book, conflict_in_a_batch)
{
    delivery_world world;
    world.refusing.clear();
    world.settings.claims.commitBurst = 1; // what arrives together goes in one transaction
    world.flow("e2");
    for (int i = 0; i < 40; ++i)
        world.send(fmt::format("e1/{}", i), "e1", milliseconds(100), "POST", fmt::format("k{}", i));
    for (int i = 0; i < 60; ++i)
        world.send(fmt::format("e2/{}", i), "e2", milliseconds(400), "POST",
                   fmt::format("k{}", i + 20));
    world.runUntil(milliseconds(300));
    const auto before = world.transactions;
    world.runUntil(milliseconds(2000));
    check(countOf(world, "passed") == 80);
    check(countOf(world, "replayed") == 20);
    check(world.transactions - before <= 6);
}

Test(claim_book, repeats)
{
    delivery_world world;
    world.refusing.clear();
    world.settings.claims.maxAnswerBytes = 8;
    world.send("e1/1", "e1", milliseconds(100), "POST", "k");
    world.send("e2/same", "e2", milliseconds(600), "POST", "k");
    world.send("e2/other", "e2", milliseconds(700), "POST", "k", 2);
    world.send("e1/other", "e1", milliseconds(700), "POST", "k", 2);
    world.send("e1/long-name", "e1", milliseconds(800), "POST", "big");
    world.send("e2/big", "e2", milliseconds(1500), "POST", "big");
    world.send("e1/get", "e1", milliseconds(1600), "GET", "k");
    world.send("e1/endless", "e1", milliseconds(1600), "POST", std::string(300, 'x'));
    world.runUntil(milliseconds(2000));
    section("with another body are refused, at either entry", [&] {
        check(world.answers["e2/other"].front() == "key_reused");
        check(world.answers["e1/other"].front() == "key_reused");
    });
    section("get the stored answer",
            [&] { check(world.answers["e2/same"].front() == "replayed"); });
    section("of an answer too large to store learn that it ran", [&] {
        check(world.answers["e2/big"].front() == "already_executed");
        check(world.refusals["e2/big"].front().ran == executed::Yes);
    });
    section("of a claim that this entry has lost sight of learn that its outcome is unknown", [&] {
        const auto key = claimKey("tickets", "kartli", "lost");
        world.send("e2/lost", "e2", milliseconds(2100), "POST", "lost");
        world.runUntil(milliseconds(2500));
        auto row = claimRowFromJson(world.platform.read(key)->value);
        row.entryId = "e1";
        row.state = claim_state::Started;
        world.platform.commit({"test", {}, {{key, toJson(row)}}});
        world.send("e1/lost", "e1", milliseconds(2600), "POST", "lost");
        world.runUntil(milliseconds(3000));
        check(world.answers["e1/lost"].front() == "outcome_unknown");
    });
    section("reading needs no claim", [&] { check(world.answers["e1/get"].front() == "passed"); });
    section("an endless key is refused",
            [&] { check(world.answers["e1/endless"].front() == "bad_request"); });
}

// The table refuses, or hangs, for two seconds. Keyed purchases are refused as not run, at once;
// what is idempotent or has no key goes on, since no promise hangs on its claim.
Test(claim_book, outage)
{
    for (const auto kind : {fault::TableRefuses, fault::TableHangs}) {
        delivery_world world;
        world.refusing.clear();
        world.send("e1/warm", "e1", milliseconds(100), "POST", "warm");
        world.runUntil(milliseconds(490));
        world.faults[world.step + 1] = kind; // hits the next message
        int sent = 0;
        for (int at = 500; at < 2300; at += 100) {
            for (const auto *method : {"POST", "PUT"}) {
                world.send(fmt::format("e1/{}{}", method, at), "e1", milliseconds(at), method,
                           fmt::format("{}{}", method, at));
            }
            world.send(fmt::format("e1/plain{}", at), "e1", milliseconds(at), "POST", "");
            ++sent;
        }
        world.send("e1/after", "e1", milliseconds(3500), "POST", "POST1000");
        world.runUntil(milliseconds(10'000));
        check(countOf(world, "platform_unavailable") == sent);
        check(countOf(world, "passed") == 2 * sent + 2);
        check(world.flow("e1").openClaims() == 0);
        // Only a table that hangs makes callers wait, and only those who find the outage: a commit
        // and its read-back time out (602 ms here), six times two keyed orders come meanwhile.
        int slow = 0;
        for (const auto &[id, at] : world.answeredAt)
            slow += at - world.sentAt.at(id) > milliseconds(100) ? 1 : 0;
        check(slow <= (kind == fault::TableHangs ? 12 : 0));
        check(latencyPercentile(world, 1) <= milliseconds(650));
    }
}

// The table goes under load, with claims in doubt and records to write. They must not all knock at
// it: each entry sends one probe at a time, and settles everything when the table is back.
Test(claim_book, outage_under_load)
{
    for (const auto kind : {fault::TableRefuses, fault::TableHangs}) {
        delivery_world world;
        world.refusing.clear();
        sendBurst(world, 800);
        world.runUntil(milliseconds(400));
        world.faults[world.step + 1] = kind;
        world.runUntil(milliseconds(1200));
        const auto before = world.tableCalls;
        world.runUntil(milliseconds(2300));
        fmt::print("calls in 1.1 s of outage: {}\n", world.tableCalls - before);
        check(world.tableCalls - before <= 10);
        world.runUntil(milliseconds(10'000));
        check(world.flow("e1").openClaims() + world.flow("e2").openClaims() == 0);
        check(countOf(world, "passed") + countOf(world, "platform_unavailable") == 800);
    }
}

// The table takes a claim 700 ms late, long after its caller was refused as not run. Left alone the
// row would say "started" for ever and block the order; it is barred by a row that says "not run".
Test(claim_book, claim_that_applies_late)
{
    delivery_world world;
    world.refusing.clear();
    world.send("e1/warm", "e1", milliseconds(100), "POST", "warm");
    world.runUntil(milliseconds(490));
    world.faults[world.step + 2] = fault::WriteDelayed; // after the arrival: the commit
    world.send("e1/1", "e1", milliseconds(500), "POST", "k", 1, milliseconds(200));
    world.send("e2/2", "e2", milliseconds(3000), "POST", "k");
    world.runUntil(milliseconds(5000));
    check(world.answers["e1/1"].front() == "deadline_passed");
    check(world.answers["e2/2"].front() == "passed");
    check(world.runsOf["k"] == 1);
}

// The entry is stopped while the table is down. The caller has its answer already; the record of
// the end is still to be written, so that a repeat elsewhere gets it. The entry waits for that, in
// bounds.
Test(claim_book, drain_in_an_outage)
{
    for (const int waits : {500, 5000}) {
        delivery_world world;
        world.refusing.clear();
        world.settings.drainRecordTime = milliseconds(waits);
        world.send("e1/1", "e1", milliseconds(100), "POST", "k");
        world.runUntil(milliseconds(140));
        check(world.answers["e1/1"].front() == "passed");
        world.faults[world.step + 1] = fault::TableRefuses; // from 150 on, for two seconds
        world.drain("e1", milliseconds(150));
        world.runUntil(milliseconds(10'000));
        const auto row = world.platform.read(claimKey("tickets", "kartli", "k"));
        const auto drainedAt = world.drainedAt.at("e1");
        if (waits == 500) {
            check(drainedAt == time_point(milliseconds(650)));
            continue;
        }
        check(claimRowFromJson(row->value).state == claim_state::Finished);
        check(drainedAt >= time_point(milliseconds(2150)));
        check(drainedAt <= time_point(milliseconds(2500)));
    }
}

// The table does not answer for longer than a claim may wait.
Test(claim_book, patience)
{
    delivery_world world;
    world.refusing.clear();
    world.settings.claims.claimPatience = milliseconds(100);
    world.send("e1/warm", "e1", milliseconds(100), "POST", "warm");
    world.runUntil(milliseconds(490));
    world.faults[world.step + 1] = fault::TableHangs;
    world.send("e1/1", "e1", milliseconds(500), "POST", "k");
    world.runUntil(milliseconds(5000));
    check(world.answers["e1/1"].front() == "platform_unavailable");
    check(latencyPercentile(world, 1) == milliseconds(100));
}

// Keys live for a stated time and no row stays for ever. Entries raise the era only after they have
// seen it unchanged for its length, so a row may live longer than stated, never shorter.
Test(claim_book, life_of_keys)
{
    delivery_world world;
    world.refusing.clear();
    world.settings.maxRequestTime = milliseconds(1000);
    world.settings.lateOutcomeTime = milliseconds(1000);
    world.settings.claims.eraLength = milliseconds(4000);
    world.settings.claims.keyLifeEras = 3;
    world.settings.claims.sweepGap = milliseconds(1);
    sendBurst(world, 200);
    world.runUntil(milliseconds(3000));
    check(world.platform.scan("claim/").size() == 200);
    sendBurst(world, 200, 1000);
    section("within it a key is known, also to an entry whose memory is gone", [&] {
        world.send("e3/repeat", "e3", milliseconds(12'000), "POST", "k7");
        world.runUntil(milliseconds(12'500));
        check(world.answers["e3/repeat"].front() == "replayed");
    });
    section("after it the rows are swept in bounded batches", [&] {
        world.runUntil(milliseconds(40'000));
        check(world.platform.scan("claim/").empty());
        check(world.counts["claim_swept"] >= 400);
    });
}

// Another entry has raised the era and this one has not seen it. A claim written with the old era
// would be swept too early, and a late repeat would run again.
Test(claim_book, era_that_has_passed)
{
    delivery_world world;
    world.refusing.clear();
    world.send("e1/1", "e1", milliseconds(100), "POST", "k1");
    world.runUntil(milliseconds(1000));
    Json::Value raised(Json::objectValue);
    raised["era"] = 9;
    world.platform.commit({"other", {}, {{"claim-era", raised}}});
    world.send("e1/2", "e1", milliseconds(1100), "POST", "k2");
    world.runUntil(milliseconds(2000));
    check(world.answers["e1/2"].front() == "passed");
    const auto row = world.platform.read(claimKey("tickets", "kartli", "k2"));
    check(claimRowFromJson(row->value).era == 9);
}

Test(claim_book, memory)
{
    section("ended requests are bounded by the bytes of their answers", [] {
        delivery_world world;
        world.refusing.clear();
        world.settings.claims.maxKeptBytes = 60; // an answer here has 7 or 8 bytes
        sendBurst(world, 100);
        world.runUntil(milliseconds(3000));
        check(countOf(world, "passed") == 100);
        check(world.flow("e1").openClaims() == 0);
        check(world.flow("e1").keptAnswerBytes() <= 60);
        check(world.flow("e1").keptAnswerBytes() >= 50);
    });
    section("keys of two scopes never share a row", [] {
        check(claimKey("a", "b/c", "k") != claimKey("a/b", "c", "k"));
        check(claimKey("a", "b", "k") != claimKey("a", "", "b/k"));
    });
    section("a row that can't be read is refused with the member's name", [] {
        try {
            claimRowFromJson(parseJson(R"({"request":"r","entry":"e","hash":"x"})"));
            check(!"accepted");
        } catch (const error &problem) {
            check(std::string(problem.what()).find("hash") != std::string::npos);
        }
    });
}
