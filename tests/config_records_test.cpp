#include "base/errors.h"
#include "base/json.h"
#include "base/random.h"
#include "config/generation_follower.h"
#include "config/operator_view.h"
#include "config/report_throttle.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::config;
using zinniabarrow::tests::section;

namespace {

const time_point Start{seconds(1000)};

generation_content contentOf(std::int64_t replicas)
{
    generation_content content;
    content.mergedConfig.services["tickets"].replicas = replicas;
    content.files["tickets.json"] = static_cast<std::uint64_t>(replicas);
    return content;
}

report_received reportOf(const std::string &process, std::uint64_t generation,
                         const std::string &text)
{
    return {{process, "entry", generation, digestOf(text)}};
}

const read_content *contentQueryIn(const generation_actions &actions)
{
    return actions.empty() ? nullptr : std::get_if<read_content>(&actions.front());
}

template <typename Read>
std::string refusalOf(Read &&read, const std::string &text)
{
    try {
        read(parseJson(text));
    } catch (const error &refused) {
        return refused.kind() == error_kind::BadRequest ? refused.what() : "wrong kind";
    }
    return "accepted";
}

folder_view exampleView()
{
    folder_view view;
    view.localReport = {"entry-1", "entry", 7, "abc-1"};
    view.isReady = true;
    view.otherProcessCount = 3;
    view.laggingProcesses = {
            {{"agent-02", "agent", 6, "abd-1"}, lag_reason::Behind, milliseconds(120)}};
    const problem fault{"b.json", 4, "/services/holds/team", "unknown team \"x\"", "gate"};
    view.files = {{"a.json", 12, file_state::InForce, 7, "", {}},
                  {"b.json", 15, file_state::Refused, 7, toText(fault), {fault}}};
    view.problems = {fault};
    return view;
}

} // namespace

// One peer answers with a wrong content, another doesn't answer, a third one answers correctly. The
// process must not put a wrong configuration in force, and must keep trying while some peer has the
// right one.
Test(config_records, follower)
{
    generation_follower agent({"a1", "agent", milliseconds(1000)});
    const auto text = contentText(contentOf(2));
    const auto older = contentText(contentOf(1));
    auto actions = agent.handle(reportOf("e1", 5, text), Start);
    const auto *query = contentQueryIn(actions);
    require(query && query->peer == "e1" && query->digest == digestOf(text));
    const auto first = *query;
    section("a wrong content is not adopted; the next source is tried", [&] {
        agent.handle(reportOf("e2", 5, text), Start);
        actions = agent.handle(content_read{first.request, true, older}, Start);
        query = contentQueryIn(actions);
        require(query && query->peer == "e2");
        check(agent.generation() == 0 && agent.counters().invalidContents == 1);
    });
    section("a source that does not answer is given up after a second", [&] {
        check(agent.handle(tick{}, Start + milliseconds(900)).empty());
        check(agent.handle(tick{}, Start + milliseconds(1000)).empty()); // all sources tried: pause
        actions = agent.handle(tick{}, Start + milliseconds(2000));
        query = contentQueryIn(actions);
        require(query && query->peer == "e1");
        check(agent.counters().failedReads == 2);
    });
    section("an answer to an earlier query is ignored, the current answer is adopted", [&] {
        check(agent.handle(content_read{first.request, true, text}, Start).empty());
        actions = agent.handle(content_read{query->request, true, text}, Start);
        check(actions.size() == 2 && agent.generation() == 5);
        check(agent.mergedConfig()->services.at("tickets").replicas == 2);
        check(agent.contentTextFor(digestOf(text)) == text && !agent.contentTextFor("other"));
    });
    section("lower generations change nothing, whatever their source", [&] {
        check(agent.handle(reportOf("e3", 4, older), Start).empty());
        check(agent.considerAcceptedGeneration(5, digestOf(older), Start).empty());
        check(agent.adoptContent(3, older).empty());
        check(agent.generation() == 5 && agent.counters().digestConflicts == 1);
    });
    section("a content that does not parse is not adopted either", [&] {
        const std::string broken = "{\"configuration\": []}";
        actions = agent.handle(reportOf("e1", 6, broken), Start);
        agent.handle(content_read{contentQueryIn(actions)->request, true, broken}, Start);
        check(agent.generation() == 5 && agent.counters().invalidContents == 2);
    });
}

Test(config_records, messages)
{
    section("records are unchanged after conversion to JSON and back", [] {
        const generation_report report{"e1", "entry", 7, "abc"};
        check(generationReportFromJson(toJson(report)) == report);
        const auto content = contentOf(3);
        check(contentText(contentFromText(contentText(content))) == contentText(content));
        const auto view = exampleView();
        check(toJson(folderViewFromJson(toJson(view))) == toJson(view));
    });
    section("malformed input is refused with an error that names the member", [] {
        check(refusalOf(generationReportFromJson, R"({"process": "e1", "role": "entry"})")
              == "member generation is missing");
        check(refusalOf(generationReportFromJson,
                        R"({"process": 1, "role": "entry", "generation": 1, "digest": ""})")
              == "member process: expected text");
        check(refusalOf(generationReportFromJson,
                        R"({"process": "", "role": "", "generation": -1, "digest": ""})")
                      .starts_with("member generation: "));
        check(refusalOf(acceptedRowFromJson, "[]").starts_with("member generation"));
        check(refusalOf(acceptedRowFromJson, R"({"generation": 1, "digest": "", "folder": "",
                "operation_id": "", "previous": [1]})")
              == "member previous: expected text");
        check(refusalOf(fileStatusFromJson, R"({"file": "a", "version": 1, "state": "lost"})")
              == "member state: unknown name lost");
        check(refusalOf(folderViewFromJson, "{}") == "member lagging must be an array");
        check(refusalOf(generationEventFromJson, R"({"event": "nothing"})") == "unknown event");
    });
    section("randomly corrupted messages cause at most an error", [] {
        const auto characterSource = compactJson(toJson(exampleView())) + contentText(contentOf(1));
        for (std::uint64_t seed = 0; seed < 3000; ++seed) {
            random_generator random(seed);
            auto text =
                    seed % 2 == 0 ? compactJson(toJson(exampleView())) : contentText(contentOf(1));
            for (auto count = 1 + drawIndex(random, 3); count > 0; --count)
                text[drawIndex(random, text.size())] =
                        characterSource[drawIndex(random, characterSource.size())];
            refusalOf(folderViewFromJson, seed % 2 == 0 ? text : "{}");
            refusalOf([&](const Json::Value &) { return contentFromText(text); }, "{}");
        }
    });
}

Test(config_records, operators_view)
{
    section("the table shows generation, lagging processes, files and problems", [] {
        const auto table = toTable(exampleView());
        check(table
              == "generation 7 in force at entry-1 (ready), 3 other processes, 1 lagging\n"
                 "  agent-02                 agent  generation 6        behind  last report 120 ms "
                 "ago\n"
                 "FILE                                VERSION  STATE       REASON\n"
                 "a.json                                   12  in force    \n"
                 "b.json                                   15  refused     b.json:4: "
                 "/services/holds/team: found unknown team \"x\"; allowed: gate\n"
                 "the current state of the folder is refused:\n"
                 "b.json:4: /services/holds/team: found unknown team \"x\"; allowed: gate\n");
    });
    section("the rollout state depends on the state of the file and on lagging processes", [] {
        auto view = exampleView();
        check(rolloutStateOf(view, view.files[0]) == rollout_state::Waiting);
        check(rolloutStateOf(view, view.files[1]) == rollout_state::Refused);
        view.laggingProcesses.clear();
        check(rolloutStateOf(view, view.files[0]) == rollout_state::InForceEverywhere);
    });
    section("lagging processes are behind or silent", [] {
        const std::vector<received_report> reports{{{"a", "agent", 6, ""}, Start},
                                                   {{"b", "agent", 7, ""}, Start},
                                                   {{"c", "agent", 7, ""}, Start - seconds(4)}};
        const auto found = findLaggingProcesses(reports, 7, Start);
        check(found.size() == 2 && found[0].reason == lag_reason::Behind);
        check(found[1].report.process == "c" && found[1].reason == lag_reason::Silent);
    });
}

// An agent reports its generation with its heartbeats, and leaves the report out once the entry has
// answered it. If the agent left it out too early, or for longer than entries keep reports, the
// agent would seem to be behind or silent, and an operator would wait in vain for a change to be in
// force everywhere.
Test(config_records, report_repetition)
{
    report_throttle throttle(seconds(4));
    const generation_report first{"agent", "agent", 3, "d3"};
    const generation_report second{"agent", "agent", 4, "d4"};
    const time_point start(seconds(100));
    section("the report is sent with every message until one is answered", [&] {
        check(throttle.isDue("e1", first, start)
              && throttle.isDue("e1", first, start + seconds(1)));
        throttle.recordAnswer("e1", first, start);
        check(!throttle.isDue("e1", first, start + milliseconds(3'999)));
        check(throttle.isDue("e2", first, start));
    });
    section("the report is sent again after the repeat interval",
            [&] { check(throttle.isDue("e1", first, start + seconds(4))); });
    section("a changed report is sent at once, also if the answer to an older one arrives late",
            [&] {
                check(throttle.isDue("e1", second, start));
                throttle.recordAnswer("e1", first, start + seconds(1));
                check(throttle.isDue("e1", second, start + seconds(1)));
            });
    section("the report is sent at once to an entry that was replaced", [&] {
        throttle.recordAnswer("e1", second, start);
        throttle.resetReceiver("e1");
        check(throttle.isDue("e1", second, start));
    });
}
