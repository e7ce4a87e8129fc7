// Several shards share a team's quota through one row, while answers are lost or late and owners
// change. Decision code on a virtual clock; tasks are placed at once where the shard's part allows.
#include <algorithm>
#include <deque>
#include <functional>
#include <utility>

#include <criterion/criterion.h>

#include "base/random.h"
#include "platform/memory_platform.h"
#include "section.h"
#include "work/ownership.h"
#include "work/quota_parts.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;
using namespace zinniabarrow::work;

namespace {

enum class write_fault { None, AnswerLost, NeverSent, Late, Refused };
constexpr write_fault Faults[] = {write_fault::AnswerLost, write_fault::NeverSent,
                                  write_fault::Late, write_fault::Refused};

resources cores(std::int64_t count)
{
    return {count * 1'000, 0, 0};
}

// One tenure of a shard. A superseded one goes on deciding; its placements are fenced.
struct tenure
{
    int shard = 0;
    std::uint64_t version = 0; // of the shard's row
    quota_parts parts;
};

struct shard_state
{
    std::uint64_t version = 0;        // of its row
    std::int64_t waiting = 0;         // tasks
    std::deque<time_point> runsUntil; // of its tasks
};

struct quota_world
{
    std::int64_t limit; // cores
    std::int64_t unit;  // cores of one task
    time_point now{seconds(1)};
    memory_platform platform;
    std::vector<shard_state> shards;
    std::deque<tenure> tenures;
    std::vector<std::pair<time_point, std::function<void()>>> later;
    std::size_t commits = 0;
    std::int64_t mostHeld = 0; // cores at once, by all shards
    std::function<write_fault(tenure &)> faultOf = [](tenure &) { return write_fault::None; };

    quota_world(std::size_t count, std::int64_t limitCores, std::int64_t unitCores)
        : limit(limitCores)
        , unit(unitCores)
        , shards(count)
    {
        for (std::size_t shard = 0; shard < count; ++shard)
            changeOwner(static_cast<int>(shard));
    }

    shard_state &stateOf(const tenure &owner)
    {
        return shards[static_cast<std::size_t>(owner.shard)];
    }

    void changeOwner(int shard)
    {
        auto &state = shards[static_cast<std::size_t>(shard)];
        Json::Value value(Json::objectValue);
        value["owner"] = Json::UInt64(tenures.size());
        const auto result = platform.commit(
                {"own", {{shardKey(shard), state.version}}, {{shardKey(shard), value}}});
        state.version = result.sequence;
        quota_settings settings;
        settings.shards = shards.size();
        tenures.push_back({shard, state.version,
                           quota_parts(shard, state.version,
                                       "tenure-" + std::to_string(tenures.size()), settings)});
    }

    std::int64_t held() const
    {
        std::int64_t sum = 0;
        for (const auto &state : shards)
            sum += unit * static_cast<std::int64_t>(state.runsUntil.size());
        return sum;
    }

    void perform(tenure &owner, const std::vector<quota_action> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *write = std::get_if<commit_rows>(&action))
                commit(owner, write->transaction);
            else
                read(owner, std::get<read_rows>(action).keys);
        }
    }

    void read(tenure &owner, const std::vector<std::string> &keys)
    {
        rows_read answer{keys, {}};
        for (const auto &key : keys) {
            if (const auto row = platform.read(key))
                answer.rows.push_back(*row);
        }
        later.emplace_back(now + milliseconds(100),
                           [&owner, answer] { owner.parts.handle(answer); });
    }

    void commit(tenure &owner, const table_transaction &transaction)
    {
        ++commits;
        const auto fault = faultOf(owner);
        write_result result;
        if (fault == write_fault::Late)
            later.emplace_back(now + seconds(5),
                               [this, transaction] { platform.commit(transaction); });
        if (fault == write_fault::None || fault == write_fault::AnswerLost)
            result = platform.commit(transaction);
        if (fault == write_fault::Refused)
            result.outcome = write_outcome::Refused;
        else if (fault != write_fault::None)
            result.outcome = write_outcome::Unknown;
        later.emplace_back(now + milliseconds(100), [this, &owner, transaction, result] {
            perform(owner, owner.parts.handle(write_settled{transaction.operationId, result}, now));
        });
    }

    void decide(tenure &owner)
    {
        auto &state = stateOf(owner);
        const auto here = unit * static_cast<std::int64_t>(state.runsUntil.size());
        const team_demand demand{cores(limit), cores(here), cores(here + unit * state.waiting),
                                 cores(state.waiting > 0 ? unit : 0)};
        perform(owner, owner.parts.update({{"clubs", demand}}, now));
        const bool owns = owner.version == state.version;
        while (owns && state.waiting > 0) {
            const auto then = unit * static_cast<std::int64_t>(state.runsUntil.size() + 1);
            if (!cores(then).fitsIn(owner.parts.usable("clubs")))
                break;
            --state.waiting;
            state.runsUntil.push_back(now + seconds(3));
        }
    }

    void step()
    {
        now += milliseconds(100);
        for (auto &[at, event] : std::exchange(later, {})) {
            if (at <= now)
                event();
            else
                later.emplace_back(at, std::move(event));
        }
        for (auto &state : shards) {
            while (!state.runsUntil.empty() && state.runsUntil.front() <= now)
                state.runsUntil.pop_front();
        }
        for (std::size_t index = 0; index < tenures.size(); ++index)
            decide(tenures[index]);
        mostHeld = std::max(mostHeld, held());
    }

    void runFor(milliseconds length)
    {
        for (const auto end = now + length; now < end;)
            step();
    }
};

// Demand wanders: the first shard takes all there is, then others want theirs.
void wander(quota_world &world)
{
    world.shards[0].waiting = 60;
    world.runFor(seconds(4));
    world.shards[1].waiting = 20;
    world.runFor(seconds(8));
    world.shards[2].waiting = 4;
    world.runFor(seconds(60));
}

void checkKept(const quota_world &world)
{
    check(world.mostHeld <= world.limit);
    for (const auto &state : world.shards)
        check(state.waiting == 0);
}

} // namespace

// A team's tasks wait in three shards with one quota: together they never hold more than it, all of
// it is used by whoever asks, and the one that came first yields to the others.
Test(quota_parts, demand_wanders)
{
    quota_world world(3, 10, 1);
    section("one shard alone gets the whole quota", [&] {
        world.shards[0].waiting = 60;
        world.runFor(seconds(2));
        check(world.held() == 10);
    });
    section("it yields to one that comes later", [&] {
        world.shards[1].waiting = 20;
        world.runFor(seconds(10));
        check(world.shards[1].runsUntil.size() >= 3);
        check(world.held() >= 8);
    });
    world.runFor(seconds(60));
    checkKept(world);
    section("no writes once nobody asks", [&] {
        world.runFor(seconds(10));
        const auto before = world.commits;
        world.runFor(seconds(30));
        check(world.commits == before);
    });
}

// One task takes the whole quota, and two shards have some. A rest that fits no task is given back,
// or both would wait for ever.
Test(quota_parts, one_task_at_a_time)
{
    quota_world world(2, 2, 2);
    world.shards[0].waiting = 30;
    world.shards[1].waiting = 3;
    world.runFor(seconds(60));
    check(world.mostHeld == 2);
    check(world.shards[1].waiting == 0);
    check(world.shards[0].waiting < 25);
}

// Every write of a part is struck by each fault, with and without a change of that shard's owner
// before the fault shows. A late write of the old owner must not count beside what the new one
// gives out.
Test(quota_parts, every_write_struck)
{
    quota_world calm(3, 10, 1);
    wander(calm);
    checkKept(calm);
    const auto writes = calm.commits;
    require(writes > 8);
    for (std::size_t struck = 1; struck <= writes; ++struck) {
        for (const auto fault : Faults) {
            for (const bool change : {false, true}) {
                quota_world world(3, 10, 1);
                world.faultOf = [&](tenure &owner) {
                    if (world.commits != struck)
                        return write_fault::None;
                    if (change) {
                        world.later.emplace_back(world.now, [&world, shard = owner.shard] {
                            world.changeOwner(shard);
                        });
                    }
                    return fault;
                };
                wander(world);
                section("write " + std::to_string(struck) + ", fault "
                                + std::to_string(static_cast<int>(fault))
                                + (change ? ", owner changed" : ""),
                        [&] { checkKept(world); });
            }
        }
    }
}

// An idle shard gives its part back, and that write hangs on its way for 5 s: its owner, or the
// next one, sees the part unchanged. What it starts on the strength of it would, once the write
// takes effect, count beside what another shard takes.
Test(quota_parts, late_return)
{
    for (const bool change : {false, true}) {
        quota_world world(2, 10, 1);
        world.shards[0].waiting = 10;
        world.runFor(seconds(4));
        check(world.shards[0].runsUntil.empty());
        time_point sentAt;
        world.faultOf = [&](tenure &owner) {
            if (sentAt != time_point()) // the table is down for the others meanwhile
                return world.now < sentAt + seconds(5) ? write_fault::NeverSent : write_fault::None;
            sentAt = world.now;
            world.shards[0].waiting = 10;
            if (change)
                world.later.emplace_back(
                        world.now, [&world, shard = owner.shard] { world.changeOwner(shard); });
            return write_fault::Late;
        };
        while (sentAt == time_point())
            world.step();
        world.runFor(milliseconds(4'400));
        world.shards[0].waiting += 10;
        world.runFor(milliseconds(800));
        world.shards[1].waiting = 10;
        world.runFor(seconds(60));
        section(change ? "owner changed" : "same owner", [&] { checkKept(world); });
    }
}

// The write that gives a part back is lost, and nobody else writes the row. It could still take
// effect, so the part may not be used; another write has to settle it, or the shard's tasks would
// wait for ever.
Test(quota_parts, lost_return)
{
    quota_world world(2, 10, 1);
    world.shards[0].waiting = 10;
    std::size_t lost = 0;
    world.runFor(seconds(4));
    world.faultOf = [&](tenure &) {
        return ++lost == 1 ? write_fault::NeverSent : write_fault::None;
    };
    while (lost == 0)
        world.step();
    world.shards[0].waiting = 10;
    world.runFor(seconds(10));
    checkKept(world);
}

// Faults and changes of owners all the time: the sum stays within the quota at every moment, and
// everything is done in the end.
Test(quota_parts, storms)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        random_generator random(seed);
        quota_world world(4, 12, 1);
        world.faultOf = [&](tenure &) {
            return pickIndex(random, 3) == 0 ? Faults[pickIndex(random, std::size(Faults))]
                                             : write_fault::None;
        };
        for (int wave = 0; wave < 20; ++wave) {
            world.shards[pickIndex(random, 4)].waiting +=
                    static_cast<std::int64_t>(pickIndex(random, 8));
            world.runFor(seconds(3));
            if (pickIndex(random, 2) == 0)
                world.changeOwner(static_cast<int>(pickIndex(random, 4)));
        }
        world.faultOf = [](tenure &) { return write_fault::None; };
        world.runFor(seconds(90));
        section("seed " + std::to_string(seed), [&] { checkKept(world); });
    }
}
