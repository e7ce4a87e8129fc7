// Guards against unintended changes in the behaviour of generation_manager. A recorded session of
// one entry has one JSON line for each event, with the actions that it caused. The test replays the
// events and compares all lines byte by byte. ZB_WRITE_GOLDEN=1 records the session again.
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "base/json.h"
#include "config/generations.h"
#include "config_files.h"
#include "config_simulation.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::config;
using zinniabarrow::tests::baseFile;
using zinniabarrow::tests::config_simulation;
using zinniabarrow::tests::fault;
using zinniabarrow::tests::fileText;
using zinniabarrow::tests::section;
using zinniabarrow::tests::simulated_process;

namespace {

const std::string GoldenPath = "tests/golden/config_session.jsonl";
constexpr std::uint64_t SessionSeed = 1; // seed of the first incarnation in config_simulation

std::string sessionLine(time_point at, const generation_event &event,
                        const generation_actions &actions)
{
    Json::Value line(Json::objectValue);
    line["at_us"] = Json::Int64(at.time_since_epoch().count());
    line["event"] = toJson(event);
    line["actions"] = Json::Value(Json::arrayValue);
    for (const auto &action : actions)
        line["actions"].append(toJson(action));
    return compactJson(line) + '\n';
}

const std::string Tickets = R"({"services": {"tickets": {"team": "gate", "pool": "rink",
"replicas": 2, "size": {"millicores": 100, "bytes": 10}}}})";

// Records a start, an edit, a refused edit and its repair, a lost answer, a conflict and a platform
// outage.
std::string recordSession()
{
    std::string session;
    config_simulation simulation;
    simulation.addEntry("e1", 1);
    simulation.addEntry("e2", 1);
    simulation.addAgent("a1");
    simulation.onHandled = [&](const simulated_process &each, const auto &event,
                               const auto &actions) {
        const bool isIdleTick = std::holds_alternative<tick>(event) && actions.empty();
        if (each.id == "e1" && !isIdleTick)
            session += sessionLine(simulation.now, event, actions);
    };
    simulation.put("00-basis.json", baseFile());
    simulation.runFor(milliseconds(800));
    simulation.put("tickets.json", Tickets);
    simulation.runFor(milliseconds(800));
    simulation.put("zz.json", "{\"services\": {\"tickets\": {\"team\": \"nobody\"}}}");
    simulation.runFor(milliseconds(800));
    simulation.chooseFault = [](const auto &, const generation_action &action, int) {
        return std::holds_alternative<commit_generation>(action) ? fault::UnknownOutcome
                                                                 : fault::None;
    };
    simulation.put("zz.json", "{\"services\": {\"tickets\": {\"replicas\": 3}}}");
    simulation.runFor(milliseconds(1200));
    bool hasConflicted = false;
    simulation.chooseFault = [&](const simulated_process &, const generation_action &action, int) {
        if (!hasConflicted && std::holds_alternative<write_content>(action)) {
            const auto row = simulation.platform.read(std::string(AcceptedRowKey));
            simulation.platform.commit({"race", {}, {{row->key, row->value}}});
            hasConflicted = true;
        }
        return fault::None;
    };
    simulation.put("tickets.json", Tickets + "\n");
    simulation.runFor(milliseconds(1200));
    simulation.isPlatformDown = true;
    simulation.runFor(milliseconds(1200));
    simulation.isPlatformDown = false;
    simulation.remove("zz.json");
    simulation.runFor(milliseconds(1200));
    return session;
}

std::string replayed(const std::string &session)
{
    std::istringstream lines(session);
    std::string output;
    std::optional<generation_manager> manager;
    for (std::string text; std::getline(lines, text);) {
        const auto line = parseJson(text);
        const time_point at{microseconds(line["at_us"].asInt64())};
        if (!manager) {
            generation_manager_settings settings;
            settings.process = "e1";
            settings.peerCount = 1;
            manager.emplace(settings, random_generator(SessionSeed), at);
        }
        const auto event = generationEventFromJson(line["event"]);
        output += sessionLine(at, event, manager->handle(event, at));
    }
    return output;
}

} // namespace

Test(config_session, replay_is_identical)
{
    if (std::getenv("ZB_WRITE_GOLDEN"))
        std::ofstream(GoldenPath) << recordSession();
    const auto golden = fileText(GoldenPath);
    section("the recorded session covers all cases", [&] {
        for (const auto *part : {"adopt_generation", "commit_generation", "\"unknown\"",
                                 "\"conflict\"", "push_generation", "nobody", "\"answered\":false"})
            check(golden.find(part) != std::string::npos);
    });
    section("the replay gives the same lines", [&] {
        const auto replay = replayed(golden);
        check(replay.size() == golden.size());
        check(replay == golden);
    });
}
