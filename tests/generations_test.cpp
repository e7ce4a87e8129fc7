#include <fmt/format.h>

#include "base/errors.h"
#include "base/json.h"
#include "config/operator_view.h"
#include "config_files.h"
#include "config_simulation.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::config;
using zinniabarrow::tests::basisFile;
using zinniabarrow::tests::config_world;
using zinniabarrow::tests::fault;
using zinniabarrow::tests::section;
using zinniabarrow::tests::world_process;

namespace {

std::string service(const std::string &name, int replicas, const std::string &team = "gate")
{
    return fmt::format(R"({{"services": {{"{}": {{"team": "{}", "pool": "rink", "replicas": {},
"size": {{"millicores": 100, "bytes": 10}}}}}}}})",
                       name, team, replicas);
}

void fill(config_world &world)
{
    world.addEntry("e1", 1);
    world.addEntry("e2", 1);
    world.addAgent("a1");
    world.put("00-basis.json", basisFile());
}

std::int64_t replicasAt(config_world &world, const std::string &id, const std::string &name)
{
    const auto whole = world.process(id).known().whole();
    const auto found = whole->services.find(name);
    return found == whole->services.end() ? -1 : found->second.replicas;
}

file_state stateAt(config_world &world, const std::string &entry, const std::string &file,
                   std::uint64_t version)
{
    return world.entry(entry).statusOf(file, version).state;
}

template <typename Action>
bool isAction(const generation_action &action)
{
    return std::holds_alternative<Action>(action);
}

} // namespace

Test(generations, edits)
{
    config_world world;
    fill(world);
    std::uint64_t first = 0;
    section("an edit is in force at every process", [&] {
        first = world.put("tickets.json", service("tickets", 2));
        check(stateAt(world, "e1", "tickets.json", first) == file_state::Pending);
        world.runFor(seconds(2));
        check(world.hasConverged());
        check(replicasAt(world, "a1", "tickets") == 2);
        check(stateAt(world, "e2", "tickets.json", first) == file_state::InForce);
        check(world.entry("e1").isReady() && world.entry("e2").isReady());
    });
    section("the next version supersedes it", [&] {
        const auto second = world.put("tickets.json", service("tickets", 3));
        world.runFor(seconds(2));
        check(replicasAt(world, "a1", "tickets") == 3);
        check(stateAt(world, "e1", "tickets.json", first) == file_state::Superseded);
        check(stateAt(world, "e1", "tickets.json", second) == file_state::InForce);
    });
    section("a file with a later name takes its place", [&] {
        const auto later = world.put("tickets.late.json", service("tickets", 4));
        world.runFor(seconds(2));
        const auto early =
                world.entry("e1").statusOf("tickets.json", world.entry("e1").files()[1].version);
        check(early.state == file_state::Superseded);
        check(early.reason == "every value is replaced by tickets.late.json");
        check(stateAt(world, "e1", "tickets.late.json", later) == file_state::InForce);
        check(replicasAt(world, "a1", "tickets") == 4);
    });
    section("a removal is followed like an edit", [&] {
        world.remove("tickets.late.json");
        check(stateAt(world, "e1", "tickets.late.json", 0) == file_state::Pending);
        world.runFor(seconds(2));
        check(stateAt(world, "e1", "tickets.late.json", 0) == file_state::InForce);
        check(replicasAt(world, "a1", "tickets") == 3);
    });
    section("an idle system reads twice a round and writes nothing", [&] {
        world.platformReads = 0;
        world.platformWrites = 0;
        world.runFor(seconds(10));
        check(world.platformWrites == 0);
        check(world.platformReads <= 2 * 2 * 10);
    });
}

// An operator saves a file that refers to a team that is not there. It is refused with file and
// line at every entry; everything goes on by the generation before. The next edit, by anyone, that
// repairs the folder is taken up.
Test(generations, refused_edit)
{
    config_world world;
    fill(world);
    world.put("tickets.json", service("tickets", 2));
    world.runFor(seconds(2));
    const auto before = world.acceptedGeneration();
    const auto bad = world.put("holds.json", service("holds", 1, "nobody"));
    const auto good = world.put("season.json", service("season", 1));
    world.runFor(seconds(2));
    section("it is refused at every entry, with place and reason", [&] {
        for (const auto *entry : {"e1", "e2"}) {
            const auto status = world.entry(entry).statusOf("holds.json", bad);
            check(status.state == file_state::Refused);
            check(status.reason
                  == "holds.json:1: /services/holds/team: found unknown team \"nobody\"; allowed: "
                     "gate");
        }
    });
    section("so is what came with it, and the fault is named", [&] {
        const auto status = world.entry("e1").statusOf("season.json", good);
        check(status.state == file_state::Refused && status.problems[0].file == "holds.json");
    });
    section("the accepted generation stays in force, and the folder is judged only once", [&] {
        check(world.acceptedGeneration() == before && replicasAt(world, "a1", "holds") == -1);
        check(world.entry("e1").counters().refused == 1);
    });
    section("an entry that starts now sees the same", [&] {
        world.restart("e1");
        world.runFor(seconds(4));
        check(stateAt(world, "e1", "holds.json", bad) == file_state::Refused);
        check(world.entry("e1").generation() == before);
    });
    section("the repair is taken up", [&] {
        world.put("holds.json", service("holds", 1));
        world.runFor(seconds(2));
        check(world.hasConverged() && replicasAt(world, "a1", "holds") == 1);
        check(stateAt(world, "e2", "season.json", good) == file_state::InForce);
        check(world.entry("e2").problems().empty());
    });
}

// An operator repairs a refused file and follows it. The entry lists the folder, reads the files,
// and judges; between the listing and the judgement it still holds the reasons against the file as
// it was. Told as the repair's, they would say `refused` of a file that is in force a moment later.
Test(generations, repair_is_not_refused_for_its_predecessor)
{
    config_world world;
    fill(world);
    world.runFor(seconds(2));
    world.put("holds.json", service("holds", 1, "nobody"));
    world.runFor(seconds(2));
    require(world.entry("e1").counters().refused == 1);
    const auto repair = world.put("holds.json", service("holds", 1));
    int asked = 0;
    world.tap = [&](const world_process &each, const auto &, const auto &) {
        if (!each.keeper)
            return;
        ++asked;
        check(each.keeper->statusOf("holds.json", repair).state != file_state::Refused);
    };
    world.runFor(seconds(3));
    check(asked > 0);
    check(stateAt(world, "e1", "holds.json", repair) == file_state::InForce);
}

// An editor writes half a file, and another one goes on writing while an entry reads. A mixture of
// both in force would be a configuration that no operator wrote, so nothing is taken up until two
// listings around the reading agree and all files parse.
Test(generations, half_written)
{
    config_world world;
    world.addEntry("e1");
    world.put("00-basis.json", basisFile());
    section("half a file is refused, the whole one accepted", [&] {
        const auto whole = service("tickets", 2);
        const auto half = world.put("tickets.json", whole.substr(0, whole.size() / 2));
        world.runFor(seconds(1));
        check(stateAt(world, "e1", "tickets.json", half) == file_state::Refused);
        check(world.acceptedGeneration() == 0);
        world.put("tickets.json", whole);
        world.runFor(seconds(1));
        check(replicasAt(world, "e1", "tickets") == 2);
    });
    section("a file that changes between the listings starts the round again", [&] {
        // Moving a service from one file to another: with the old a.json and the new b.json it
        // would be there twice, with the new a.json and the old b.json not at all.
        world.put("a.json", service("moved", 1));
        world.put("b.json", "{}");
        world.runFor(seconds(2));
        bool isMoved = false;
        world.chooseFault = [&](const auto &, const generation_action &action, int) {
            if (!isAction<read_files>(action) || isMoved)
                return fault::None;
            isMoved = true;
            world.after(milliseconds(7), [&] { world.put("a.json", "{}"); });
            return fault::None;
        };
        world.tap = [&](const auto &, const auto &, const generation_actions &actions) {
            for (const auto &action : actions) {
                if (const auto *adopted = std::get_if<adopt_generation>(&action))
                    check(adopted->whole->services.at("moved").replicas == 5);
            }
        };
        world.put("b.json", service("moved", 5));
        world.runFor(seconds(3));
        check(isMoved && world.entry("e1").counters().listingsChanged == 1);
        check(stateAt(world, "e1", "b.json", world.entry("e1").files()[2].version)
              == file_state::InForce);
    });
}

// Two operators save the same file at the same moment, through different entries. The object store
// orders the writes; one sees its version superseded, the other in force, at both entries alike.
Test(generations, racing_operators)
{
    config_world world;
    fill(world);
    world.runFor(seconds(2));
    const auto alice = world.put("tickets.json", service("tickets", 2));
    const auto bob = world.put("tickets.json", service("tickets", 3));
    world.runFor(seconds(2));
    for (const auto *entry : {"e1", "e2"}) {
        check(stateAt(world, entry, "tickets.json", alice) == file_state::Superseded);
        check(stateAt(world, entry, "tickets.json", bob) == file_state::InForce);
    }
    section("both entries tried, one wrote", [&] {
        const auto &one = world.entry("e1").counters();
        const auto &two = world.entry("e2").counters();
        check(one.accepted + two.accepted == world.acceptedGeneration());
    });
    section("one entry's slow write does not undo the other's newer one", [&] {
        bool isSlowed = false;
        world.chooseFault = [&](const world_process &each, const generation_action &action, int) {
            if (each.id != "e1" || isSlowed || !isAction<commit_generation>(action))
                return fault::None;
            isSlowed = true;
            world.process("e2").isCutFromPlatform = false;
            return fault::Delayed;
        };
        world.process("e2").isCutFromPlatform = true;
        world.put("tickets.json", service("tickets", 4));
        world.runFor(milliseconds(700));
        require(isSlowed);
        world.put("tickets.json", service("tickets", 5));
        world.runFor(seconds(8));
        check(world.hasConverged() && replicasAt(world, "a1", "tickets") == 5);
    });
}

// The platform is slow: an answer comes after its question was given up and asked again. Taken for
// the answer to the new question, an old listing could pass for the second of two that agree.
Test(generations, slow_platform)
{
    keeper_settings settings;
    settings.process = "e1";
    const time_point start{seconds(1000)};
    generation_keeper keeper(settings, random_generator(1), start);
    const auto toListing = [&](time_point now) {
        const auto asked = keeper.handle(tick{}, now);
        const auto request = std::get<read_accepted>(asked.at(0)).request;
        const auto actions = keeper.handle(accepted_read{request, true, {}}, now);
        return std::get<list_folder>(actions.at(0)).request;
    };
    const std::vector<stored_object> listing{{std::string(FolderPrefix) + "a.json", "", 1}};
    const auto first = toListing(start);
    check(keeper.handle(tick{}, start + seconds(2)).empty()); // given up
    const auto second = toListing(start + seconds(3));
    check(keeper.handle(folder_listed{first, true, listing}, start + seconds(3)).empty());
    check(!keeper.handle(folder_listed{second, true, listing}, start + seconds(3)).empty());
    check(keeper.counters().platformFailures == 1);
}

// The entry writes the accepting row, the platform does it, and the answer is lost. The operator
// must not be told that the edit failed, and the edit must not be made twice: the row is read back.
Test(generations, lost_answer)
{
    config_world world;
    world.addEntry("e1");
    world.addAgent("a1");
    world.put("00-basis.json", basisFile());
    for (const auto kind : {fault::Unsure, fault::LostReply}) {
        section(kind == fault::Unsure ? "the client says so" : "no answer ever comes", [&] {
            bool isLost = false;
            world.chooseFault = [&](const auto &, const generation_action &action, int) {
                if (isLost || !isAction<commit_generation>(action))
                    return fault::None;
                isLost = true;
                return kind;
            };
            const auto settled = world.entry("e1").counters().settledByReadBack;
            const auto generation = world.acceptedGeneration();
            world.put("tickets.json", service("tickets", static_cast<int>(settled) + 1));
            world.runFor(seconds(4));
            check(world.entry("e1").counters().settledByReadBack == settled + 1);
            check(world.acceptedGeneration() == generation + 1 && world.hasConverged());
        });
    }
    check(world.entry("e1").counters().accepted == 0);
}

// One entry is cut off from the platform and from the others while edits are accepted. It goes on
// by its older generation; when it is back it must take up the newer one and push its own on
// nobody.
Test(generations, partition)
{
    config_world world;
    fill(world);
    world.put("tickets.json", service("tickets", 2));
    world.runFor(seconds(2));
    auto &lost = world.process("e2");
    lost.isCutFromPlatform = lost.isCutFromPeers = true;
    world.put("tickets.json", service("tickets", 3));
    world.runFor(seconds(5));
    check(replicasAt(world, "e2", "tickets") == 2 && replicasAt(world, "a1", "tickets") == 3);
    section("status names it while it lags", [&] {
        const auto view = folderViewOf(world.entry("e1"), world.now);
        require(view.lagging.size() == 1);
        check(view.lagging[0].report.process == "e2");
        check(followState(view, view.files[1]) == follow_state::Waiting);
    });
    section("peers alone bring it back", [&] {
        lost.isCutFromPeers = false;
        world.runFor(seconds(2));
        check(replicasAt(world, "e2", "tickets") == 3);
    });
    section("and then all is in force everywhere", [&] {
        lost.isCutFromPlatform = false;
        world.runFor(seconds(2));
        const auto view = folderViewOf(world.entry("e1"), world.now);
        check(followState(view, view.files[1]) == follow_state::Everywhere);
    });
}

// All entries are replaced while the platform is down. A newcomer that served at once would know no
// service and refuse callers; it learns the generation from those who still have it, here the
// agent.
Test(generations, newcomers)
{
    config_world world;
    fill(world);
    world.put("tickets.json", service("tickets", 2));
    world.runFor(seconds(2));
    world.isPlatformDown = true;
    world.restart("e1");
    world.restart("e2");
    section("the agent's generation is adopted before serving", [&] {
        world.runFor(milliseconds(10));
        check(!world.entry("e1").isReady());
        world.runFor(seconds(4));
        check(world.entry("e1").isReady() && replicasAt(world, "e1", "tickets") == 2);
    });
    section("edits wait for the platform, and numbers go on from there", [&] {
        const auto generation = world.acceptedGeneration();
        world.put("tickets.json", service("tickets", 3));
        world.runFor(seconds(4));
        check(replicasAt(world, "a1", "tickets") == 2);
        world.isPlatformDown = false;
        world.runFor(seconds(4));
        check(world.acceptedGeneration() == generation + 1 && world.hasConverged());
    });
    section("where nobody knows anything, no entry serves", [&] {
        world.isPlatformDown = true;
        for (const auto *id : {"e1", "e2", "a1"})
            world.restart(id);
        world.runFor(seconds(10));
        check(!world.entry("e1").isReady() && !world.entry("e2").isReady());
        world.isPlatformDown = false;
        world.runFor(seconds(4));
        check(world.entry("e1").isReady() && replicasAt(world, "a1", "tickets") == 3);
    });
}

// The platform's operators restore the table, or the object store, from an older copy. Callers must
// not be sent back to an older configuration, and services must not be stopped.
Test(generations, platform_restored)
{
    config_world world;
    fill(world);
    world.put("tickets.json", service("tickets", 2));
    world.runFor(seconds(2));
    const auto old = world.platform.read(std::string(AcceptedRowKey))->value;
    const auto row = std::string(AcceptedRowKey);
    for (int replicas = 3; replicas < 6; ++replicas) {
        world.put("tickets.json", service("tickets", replicas));
        world.runFor(seconds(2));
    }
    const auto highest = world.acceptedGeneration();
    section("an older row is raised above what is in force", [&] {
        world.platform.commit({"restore", {}, {{row, old}}});
        world.runFor(seconds(3));
        check(world.acceptedGeneration() > highest && world.hasConverged());
        check(replicasAt(world, "a1", "tickets") == 5);
    });
    section("also while the folder as it stands is refused", [&] {
        world.put("bad.json", service("holds", 1, "nobody"));
        world.runFor(seconds(1));
        const auto raised = world.acceptedGeneration();
        world.platform.commit({"restore", {}, {{row, old}}});
        world.runFor(seconds(3));
        check(world.acceptedGeneration() > raised && world.hasConverged());
        check(replicasAt(world, "a1", "tickets") == 5);
        world.remove("bad.json");
        world.runFor(seconds(1));
    });
    section("also when its number is the same and its content is not", [&] {
        auto fork = old;
        fork["generation"] = Json::UInt64(world.acceptedGeneration());
        fork["folder"] = world.platform.read(row)->value["folder"];
        world.platform.commit({"restore", {}, {{row, fork}}});
        world.runFor(seconds(3));
        check(world.acceptedGeneration() > fork["generation"].asUInt64() && world.hasConverged());
        check(replicasAt(world, "e2", "tickets") == 5);
    });
    section("a newcomer waits for its peers before it believes the row", [&] {
        const auto before = world.platform.read(row)->value;
        world.put("tickets.json", service("tickets", 5) + "\n");
        world.runFor(milliseconds(2150)); // the peer's next announcement is not due at once
        world.platform.commit({"restore", {}, {{row, before}}});
        world.process("e2").isCutFromPlatform = true;
        world.restart("e1");
        world.process("e1").mustReach = world.entry("e2").generation();
        world.runFor(seconds(4));
        check(world.entry("e1").isReady() && replicasAt(world, "e1", "tickets") == 5);
        world.process("e2").isCutFromPlatform = false;
        world.runFor(seconds(3));
        check(world.hasConverged() && replicasAt(world, "e2", "tickets") == 5);
    });
    section("a folder that comes back empty stops nothing", [&] {
        for (const auto *name : {"00-basis.json", "tickets.json"})
            world.remove(name);
        world.runFor(seconds(3));
        check(replicasAt(world, "a1", "tickets") == 5);
        check(world.entry("e1").problems().at(0).found == "no file at all");
    });
    section("a row that cannot be read stops nothing", [&] {
        world.platform.commit({"break", {}, {{row, Json::Value("x")}}});
        world.runFor(seconds(3));
        check(world.entry("e1").counters().badRows > 0);
        check(replicasAt(world, "e1", "tickets") == 5);
    });
}

Test(generations, sizes)
{
    config_world world;
    world.addEntry("e1");
    world.put("00-basis.json", basisFile());
    constexpr int Files = 1500;
    for (int i = 0; i < Files; ++i) {
        const auto job = fmt::format(R"({{"jobs": {{"job-{}": {{"team": "gate", "pool": "rink",
"size": {{"millicores": 10, "bytes": 10}}}}}}}})",
                                     i);
        world.put(fmt::format("job-{:04}.json", i), job);
    }
    world.runFor(seconds(4));
    section("the row stays small however large the folder is", [&] {
        check(world.entry("e1").generation() == 1);
        for (int i = 0; i < 20; ++i) {
            world.put("tickets.json", service("tickets", i));
            world.look("e1");
            world.runFor(seconds(1));
        }
        const auto row = world.platform.read(std::string(AcceptedRowKey));
        check(compactJson(row->value).size() < 1024);
    });
    section("contents that nobody can need any more are removed",
            [&] { check(world.platform.listObjects(std::string(MergedPrefix)).size() <= 9); });
    section("one edit reads one file", [&] {
        world.platformReads = 0;
        world.put("tickets.json", service("tickets", 2));
        world.look("e1");
        world.runFor(milliseconds(900));
        check(replicasAt(world, "e1", "tickets") == 2 && world.platformReads == 1 + 2 + 1);
    });
    section("a large folder is listed seldom, and once however many operators ask", [&] {
        world.platformReads = 0;
        world.runFor(seconds(60));
        check(world.platformReads <= 60 + 1);
        world.platformReads = 0;
        for (int i = 0; i < 40; ++i) {
            world.look("e1");
            world.runFor(milliseconds(20));
        }
        check(world.platformReads <= 2 + 1);
    });
    section("and an edit is found without being asked for", [&] {
        world.put("tickets.json", service("tickets", 3));
        world.runFor(seconds(120));
        check(replicasAt(world, "e1", "tickets") == 3);
    });
}

namespace {

constexpr int Steps = 80;      // covers all edits of the scenario; the rest is idle polling
constexpr int StepsAfter = 24; // left for things to settle

// What strikes at one step of the scenario.
struct strike
{
    const char *name;
    fault kind;                               // of the step itself
    std::function<void(config_world &)> also; // beside it
    bool isBounded = true;                    // in force everywhere within 4 s all the same
};

std::vector<strike> strikes()
{
    const auto restart = [](const char *id) {
        return [id](config_world &world) {
            world.after(milliseconds(0), [&world, id] { world.kill(id); });
            world.after(milliseconds(300), [&world, id] { world.restart(id); });
        };
    };
    return {
            {"nothing", fault::None, [](auto &) {}},
            {"refused", fault::Down, [](auto &) {}},
            {"query lost", fault::LostQuery, [](auto &) {}},
            {"reply lost", fault::LostReply, [](auto &) {}},
            {"outcome unknown", fault::Unsure, [](auto &) {}},
            {"late", fault::Delayed, [](auto &) {}},
            {"entry replaced", fault::None, restart("e1")},
            {"entry replaced, reply lost", fault::LostReply, restart("e2")},
            {"agent replaced", fault::None, restart("a1")},
            {"operators race", fault::None,
             [](config_world &world) {
                 world.after(milliseconds(2), [&world] { world.put("race.json", "{}"); });
                 world.after(milliseconds(8),
                             [&world] { world.put("race.json", service("race", 1)); });
             }},
            {"platform down for 3 s", fault::LostReply,
             [](config_world &world) {
                 world.isPlatformDown = true;
                 world.after(seconds(3), [&world] { world.isPlatformDown = false; });
             }},
            {"entry cut off for 3 s", fault::Delayed,
             [](config_world &world) {
                 auto &entry = world.process("e2");
                 entry.isCutFromPlatform = entry.isCutFromPeers = true;
                 world.after(seconds(3),
                             [&entry] { entry.isCutFromPlatform = entry.isCutFromPeers = false; });
             },
             false},
            {"entry paused for 3 s", fault::None,
             [](config_world &world) { world.process("e1").pausedUntil = world.now + seconds(3); },
             false},
    };
}

// Edits by several operators, one of them refused and repaired, one a removal.
void scenario(config_world &world, const std::vector<std::pair<int, strike>> &struck)
{
    world.chooseFault = [&](const auto &, const auto &, int step) {
        auto kind = fault::None;
        for (const auto &[struckStep, each] : struck) {
            if (step != struckStep)
                continue;
            each.also(world);
            kind = std::max(kind, each.kind);
        }
        return kind;
    };
    fill(world);
    world.runFor(milliseconds(1200));
    const auto alice = world.put("tickets.json", service("tickets", 2));
    world.runFor(milliseconds(300));
    const auto bob = world.put("tickets.json", service("tickets", 3));
    world.put("holds.json", service("holds", 1));
    world.runFor(milliseconds(1200));
    const auto refused = world.put("season.json", service("season", 1, "nobody"));
    world.runFor(milliseconds(1200));
    const auto repaired = world.put("season.json", service("season", 1));
    world.remove("holds.json");
    world.runFor(seconds(12));
    check(world.hasConverged());
    check(replicasAt(world, "a1", "tickets") == 3 && replicasAt(world, "a1", "holds") == -1);
    for (const auto *entry : {"e1", "e2"}) {
        check(world.entry(entry).isReady());
        check(stateAt(world, entry, "tickets.json", alice) == file_state::Superseded);
        check(stateAt(world, entry, "tickets.json", bob) == file_state::InForce);
        check(stateAt(world, entry, "season.json", refused) == file_state::Superseded);
        check(stateAt(world, entry, "season.json", repaired) == file_state::InForce);
        check(stateAt(world, entry, "holds.json", 0) == file_state::InForce);
    }
}

} // namespace

// Whatever goes wrong at whichever step, and however operators race, in the end each operator sees
// one truth at every entry. On the way (checked in config_world.h) accepted generations only rise,
// no process steps back, a generation has one content, and no invalid whole is ever in force.
Test(generations, every_step_struck)
{
    const auto all = strikes();
    config_world calm;
    scenario(calm, {});
    require(calm.step > Steps + StepsAfter);
    for (const auto &struck : all) {
        milliseconds slowest{0};
        for (int step = 1; step <= Steps; ++step) {
            section(fmt::format("{} at step {}", struck.name, step), [&] {
                config_world world;
                scenario(world, {{step, struck}});
                slowest = std::max(slowest, world.slowest);
                check(!struck.isBounded || world.slowest <= seconds(4));
            });
        }
        cr_log_info("%s: in force everywhere within %ld ms", struck.name,
                    static_cast<long>(slowest.count()));
    }
}

// Two faults together, at random but seeded: bounded to a few hundred runs.
Test(generations, two_strikes)
{
    constexpr int Runs = 600;
    const auto all = strikes();
    random_generator random(7);
    for (int run = 0; run < Runs; ++run) {
        const auto first = all[pickIndex(random, all.size())];
        const auto second = all[pickIndex(random, all.size())];
        const auto firstStep = 1 + static_cast<int>(pickIndex(random, Steps));
        const auto secondStep = 1 + static_cast<int>(pickIndex(random, Steps));
        section(fmt::format("{} at {}, {} at {}", first.name, firstStep, second.name, secondStep),
                [&] {
                    config_world world;
                    scenario(world, {{firstStep, first}, {secondStep, second}});
                });
    }
}
