// Tests the rounds in which entries share learned run times in one row of the store.
#include <deque>

#include <criterion/criterion.h>

#include "app/job_tables.h"
#include "app/run_time_store.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

const run_kind Compile{"builds", "compiler"};

// The store with the one row; a commit waits until the test carries it out.
struct fake_store
{
    std::optional<row> stored;
    bool isSilent = false;
    int reads = 0;
    std::deque<std::pair<row_transaction, store_client::commit_callback>> commits;

    run_time_store::store_calls calls()
    {
        return {[this](const auto &done) {
                    ++reads;
                    row_page page;
                    if (stored)
                        page.rows = {*stored};
                    isSilent ? done(std::nullopt) : done(page);
                },
                [this](auto transaction, auto done) {
                    commits.emplace_back(std::move(transaction), std::move(done));
                }};
    }

    void write(const std::string &value)
    {
        stored = row{runTimesRowName(), value, stored ? stored->version + 1 : 1, false};
    }

    void carryOutCommit(bool losesAnswer = false)
    {
        auto [transaction, done] = std::move(commits.front());
        commits.pop_front();
        const auto version = stored ? stored->version : 0;
        const bool applies = transaction.expected.front().version == version;
        if (applies)
            write(transaction.set.front().value);
        if (applies && !losesAnswer)
            return done(committed{stored->version, 0});
        done(conflicting{{*stored}});
    }
};

struct entry
{
    explicit entry(fake_store &store)
        : rounds(store.calls(), counters, log, times)
    { }

    void see(int runs, std::int64_t durationMs)
    {
        for (int run = 0; run < runs; ++run)
            times.recordDone({Compile, 1000, {}, 1}, milliseconds(durationMs));
    }
    double weight() const
    {
        const auto found = times.profiles().find(Compile);
        return found == times.profiles().end() ? 0 : found->second.calibration.weight();
    }

    metrics counters;
    event_log log{"entry", "a"};
    run_times times;
    run_time_store rounds;
};

bool isAbout(double value, double expected)
{
    return std::abs(value - expected) < 0.1;
}

} // namespace

// Two entries write in the same moment, and again after a lost answer.
Test(run_time_store, entries_that_write_at_once)
{
    fake_store store;
    entry one(store);
    entry two(store);
    one.see(10, 2000);
    two.see(20, 2000);
    one.rounds.sync();
    two.rounds.sync();
    section("a round in flight holds up the next one", [&] {
        one.rounds.sync();
        check(store.commits.size() == 2);
    });
    store.carryOutCommit();
    store.carryOutCommit();
    section("the second takes over what the first wrote, and keeps its own for the next round",
            [&] {
                check(isAbout(two.weight(), 30));
                check(two.times.hasNews() && !one.times.hasNews());
                two.rounds.sync();
                store.carryOutCommit();
                one.rounds.sync();
                check(isAbout(one.weight(), 30));
                check(store.commits.empty());
            });
    section("a write whose answer was lost is not repeated", [&] {
        one.see(5, 2000);
        one.rounds.sync();
        store.carryOutCommit(true);
        check(!one.times.hasNews());
        two.rounds.sync();
        check(isAbout(two.weight(), 35));
    });
}

// All entries are killed; the store is away as the first one returns.
Test(run_time_store, all_entries_lost_and_restarted)
{
    fake_store store;
    {
        entry before(store);
        before.see(40, 3000);
        before.rounds.sync();
        store.carryOutCommit();
    }
    entry after(store);
    store.isSilent = true;
    after.rounds.sync();
    check(after.weight() == 0);
    after.see(2, 3000);
    store.isSilent = false;
    after.rounds.sync();
    check(isAbout(after.weight(), 42));
}

// The row is of another version of the program.
Test(run_time_store, malformed_rows)
{
    fake_store store;
    store.write(R"({"v":9,"kinds":[]})");
    entry one(store);
    one.see(10, 2000);
    for (int round = 0; round < 3; ++round)
        one.rounds.sync();
    section("it is refused once, counted, and stays as it is", [&] {
        check(one.counters.text().find("run_times_unreadable_total{reason=\"row\"} 1")
              != std::string::npos);
        check(store.commits.empty() && store.stored->version == 1);
        check(isAbout(one.weight(), 10));
    });
    section("once it is removed, the entry writes its own", [&] {
        store.stored.reset();
        one.rounds.sync();
        store.carryOutCommit();
        check(isAbout(profilesFrom(store.stored->value).at(Compile).calibration.weight(), 10));
    });
}
