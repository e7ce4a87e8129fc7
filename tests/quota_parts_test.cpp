// Several shards share a team's quota through one row, while writes and answers are lost or late
// and owners change. Runs the decision code on a virtual clock; a task starts as soon as its
// shard's part allows.
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

// AnswerLost: the write takes effect. NeverSent: it is lost. Late: it takes effect after 5 s. In
// all three cases the owner learns that the outcome is unknown.
enum class write_fault { None, AnswerLost, NeverSent, Late, Refused };
constexpr write_fault Faults[] = {write_fault::AnswerLost, write_fault::NeverSent,
                                  write_fault::Late, write_fault::Refused};

resources cores(std::int64_t count)
{
    return {count * 1'000, 0, 0};
}

// The ownership of a shard by one entry during one epoch. A superseded owner continues to decide,
// but its placements are fenced.
struct tenure
{
    int shard = 0;
    std::uint64_t version = 0; // of the shard's row
    quota_parts parts;
};

struct shard_state
{
    std::uint64_t version = 0;           // of the shard's row
    std::int64_t waiting = 0;            // number of waiting tasks
    std::deque<time_point> taskEndTimes; // of the running tasks
};

struct quota_model
{
    std::int64_t quotaCores; // of the team, in all shards
    std::int64_t taskCores;  // of one task
    time_point now{seconds(1)};
    memory_platform platform;
    std::vector<shard_state> shardStates;
    std::deque<tenure> tenures;
    std::vector<std::pair<time_point, std::function<void()>>> delayedEvents;
    std::size_t commits = 0;
    std::int64_t maxCoresInUse = 0; // largest number in use at the same time, by all shards
    std::function<write_fault(tenure &)> chooseFault = [](tenure &) { return write_fault::None; };

    quota_model(std::size_t count, std::int64_t limitCores, std::int64_t coresPerTask)
        : quotaCores(limitCores)
        , taskCores(coresPerTask)
        , shardStates(count)
    {
        for (std::size_t shard = 0; shard < count; ++shard)
            changeOwner(static_cast<int>(shard));
    }

    shard_state &stateOf(const tenure &owner)
    {
        return shardStates[static_cast<std::size_t>(owner.shard)];
    }

    void changeOwner(int shard)
    {
        auto &state = shardStates[static_cast<std::size_t>(shard)];
        Json::Value value(Json::objectValue);
        value["owner"] = Json::UInt64(tenures.size());
        const auto result = platform.commit(
                {"own", {{shardKey(shard), state.version}}, {{shardKey(shard), value}}});
        state.version = result.sequence;
        quota_settings settings;
        settings.shardCount = shardStates.size();
        tenures.push_back({shard, state.version,
                           quota_parts(shard, state.version,
                                       "tenure-" + std::to_string(tenures.size()), settings)});
    }

    std::int64_t coresInUse() const
    {
        std::int64_t sum = 0;
        for (const auto &state : shardStates)
            sum += taskCores * static_cast<std::int64_t>(state.taskEndTimes.size());
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
        delayedEvents.emplace_back(now + milliseconds(100),
                                   [&owner, answer] { owner.parts.handle(answer); });
    }

    void commit(tenure &owner, const table_transaction &transaction)
    {
        ++commits;
        const auto fault = chooseFault(owner);
        write_result result;
        if (fault == write_fault::Late)
            delayedEvents.emplace_back(now + seconds(5),
                                       [this, transaction] { platform.commit(transaction); });
        if (fault == write_fault::None || fault == write_fault::AnswerLost)
            result = platform.commit(transaction);
        if (fault == write_fault::Refused)
            result.outcome = write_outcome::Refused;
        else if (fault != write_fault::None)
            result.outcome = write_outcome::Unknown;
        delayedEvents.emplace_back(now + milliseconds(100), [this, &owner, transaction, result] {
            perform(owner,
                    owner.parts.handle(write_answered{transaction.operationId, result}, now));
        });
    }

    void decide(tenure &owner)
    {
        auto &state = stateOf(owner);
        const auto coresHere = taskCores * static_cast<std::int64_t>(state.taskEndTimes.size());
        const team_demand demand{cores(quotaCores), cores(coresHere),
                                 cores(coresHere + taskCores * state.waiting),
                                 cores(state.waiting > 0 ? taskCores : 0)};
        perform(owner, owner.parts.update({{"clubs", demand}}, now));
        const bool isCurrentOwner = owner.version == state.version;
        while (isCurrentOwner && state.waiting > 0) {
            const auto coresWithOneMore =
                    taskCores * static_cast<std::int64_t>(state.taskEndTimes.size() + 1);
            if (!cores(coresWithOneMore).fitsIn(owner.parts.usableQuota("clubs")))
                break;
            --state.waiting;
            state.taskEndTimes.push_back(now + seconds(3));
        }
    }

    void step()
    {
        now += milliseconds(100);
        for (auto &[at, event] : std::exchange(delayedEvents, {})) {
            if (at <= now)
                event();
            else
                delayedEvents.emplace_back(at, std::move(event));
        }
        for (auto &state : shardStates) {
            while (!state.taskEndTimes.empty() && state.taskEndTimes.front() <= now)
                state.taskEndTimes.pop_front();
        }
        for (std::size_t index = 0; index < tenures.size(); ++index)
            decide(tenures[index]);
        maxCoresInUse = std::max(maxCoresInUse, coresInUse());
    }

    void runFor(milliseconds length)
    {
        for (const auto end = now + length; now < end;)
            step();
    }
};

// Demand moves between shards: the first one takes the whole quota, then others ask for their part.
void runShiftingDemand(quota_model &model)
{
    model.shardStates[0].waiting = 60;
    model.runFor(seconds(4));
    model.shardStates[1].waiting = 20;
    model.runFor(seconds(8));
    model.shardStates[2].waiting = 4;
    model.runFor(seconds(60));
}

void checkQuotaAndCompletion(const quota_model &model)
{
    check(model.maxCoresInUse <= model.quotaCores);
    for (const auto &state : model.shardStates)
        check(state.waiting == 0);
}

} // namespace

// A team's tasks wait in three shards with one quota. Together the shards must never use more than
// the quota, the quota must be fully used by whichever shards need it, and the shard that came
// first must yield to the others.
Test(quota_parts, shifting_demand)
{
    quota_model model(3, 10, 1);
    section("one shard alone gets the whole quota", [&] {
        model.shardStates[0].waiting = 60;
        model.runFor(seconds(2));
        check(model.coresInUse() == 10);
    });
    section("it yields to a shard that comes later", [&] {
        model.shardStates[1].waiting = 20;
        model.runFor(seconds(10));
        check(model.shardStates[1].taskEndTimes.size() >= 3);
        check(model.coresInUse() >= 8);
    });
    model.runFor(seconds(60));
    checkQuotaAndCompletion(model);
    section("no writes without demand", [&] {
        model.runFor(seconds(10));
        const auto before = model.commits;
        model.runFor(seconds(30));
        check(model.commits == before);
    });
}

// Each task needs the whole quota, and tasks wait in two shards. A remainder that fits no task must
// be returned, or both shards would wait forever.
Test(quota_parts, one_task_at_a_time)
{
    quota_model model(2, 2, 2);
    model.shardStates[0].waiting = 30;
    model.shardStates[1].waiting = 3;
    model.runFor(seconds(60));
    check(model.maxCoresInUse == 2);
    check(model.shardStates[1].waiting == 0);
    check(model.shardStates[0].waiting < 25);
}

// Injects each fault into each write of a part, with and without a change of the writing shard's
// owner before the fault has an effect. A late write of the old owner must not add to what the new
// owner lets tasks use.
Test(quota_parts, every_write_with_each_fault)
{
    quota_model faultFree(3, 10, 1);
    runShiftingDemand(faultFree);
    checkQuotaAndCompletion(faultFree);
    const auto writes = faultFree.commits;
    require(writes > 8);
    for (std::size_t faultyWrite = 1; faultyWrite <= writes; ++faultyWrite) {
        for (const auto fault : Faults) {
            for (const bool hasOwnerChange : {false, true}) {
                quota_model model(3, 10, 1);
                model.chooseFault = [&](tenure &owner) {
                    if (model.commits != faultyWrite)
                        return write_fault::None;
                    if (hasOwnerChange) {
                        model.delayedEvents.emplace_back(model.now, [&model, shard = owner.shard] {
                            model.changeOwner(shard);
                        });
                    }
                    return fault;
                };
                runShiftingDemand(model);
                section("write " + std::to_string(faultyWrite) + ", fault "
                                + std::to_string(static_cast<int>(fault))
                                + (hasOwnerChange ? ", owner changed" : ""),
                        [&] { checkQuotaAndCompletion(model); });
            }
        }
    }
}

// An idle shard returns its part, and that write is delayed for 5 s. Until then the shard's owner,
// or the next one, reads the part unchanged. If it started tasks within this part, they would
// exceed the quota together with the tasks of the shard that takes the returned part.
Test(quota_parts, late_return)
{
    for (const bool hasOwnerChange : {false, true}) {
        quota_model model(2, 10, 1);
        model.shardStates[0].waiting = 10;
        model.runFor(seconds(4));
        check(model.shardStates[0].taskEndTimes.empty());
        time_point sentAt;
        model.chooseFault = [&](tenure &owner) {
            if (sentAt != time_point()) // later writes are lost until the first one takes effect
                return model.now < sentAt + seconds(5) ? write_fault::NeverSent : write_fault::None;
            sentAt = model.now;
            model.shardStates[0].waiting = 10;
            if (hasOwnerChange)
                model.delayedEvents.emplace_back(
                        model.now, [&model, shard = owner.shard] { model.changeOwner(shard); });
            return write_fault::Late;
        };
        while (sentAt == time_point())
            model.step();
        model.runFor(milliseconds(4'400));
        model.shardStates[0].waiting += 10;
        model.runFor(milliseconds(800));
        model.shardStates[1].waiting = 10;
        model.runFor(seconds(60));
        section(hasOwnerChange ? "owner changed" : "same owner",
                [&] { checkQuotaAndCompletion(model); });
    }
}

// The write that returns a part is lost, and nobody else writes the row. It could still take
// effect, so the part may not be used. The shard must resolve it by another write, or its tasks
// would wait forever.
Test(quota_parts, lost_return)
{
    quota_model model(2, 10, 1);
    model.shardStates[0].waiting = 10;
    std::size_t writeCount = 0;
    model.runFor(seconds(4));
    model.chooseFault = [&](tenure &) {
        return ++writeCount == 1 ? write_fault::NeverSent : write_fault::None;
    };
    while (writeCount == 0)
        model.step();
    model.shardStates[0].waiting = 10;
    model.runFor(seconds(10));
    checkQuotaAndCompletion(model);
}

// Random faults and owner changes all the time: the shards must stay within the quota at every
// moment, and all tasks must be done in the end.
Test(quota_parts, random_faults)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        random_generator random(seed);
        quota_model model(4, 12, 1);
        model.chooseFault = [&](tenure &) {
            return drawIndex(random, 3) == 0 ? Faults[drawIndex(random, std::size(Faults))]
                                             : write_fault::None;
        };
        for (int wave = 0; wave < 20; ++wave) {
            model.shardStates[drawIndex(random, 4)].waiting +=
                    static_cast<std::int64_t>(drawIndex(random, 8));
            model.runFor(seconds(3));
            if (drawIndex(random, 2) == 0)
                model.changeOwner(static_cast<int>(drawIndex(random, 4)));
        }
        model.chooseFault = [](tenure &) { return write_fault::None; };
        model.runFor(seconds(90));
        section("seed " + std::to_string(seed), [&] { checkQuotaAndCompletion(model); });
    }
}
