#include <algorithm>

#include "base/errors.h"
#include "base/json.h"
#include "config/schema.h"
#include "config/settings.h"
#include "config_files.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::config;
using zinniabarrow::tests::fileText;
using zinniabarrow::tests::section;

namespace {

// The error message for these settings, or "accepted".
std::string refusalOf(const std::string &text, bool isEntry = true)
{
    try {
        if (isEntry)
            entrySettingsFrom("entry.json", text);
        else
            agentSettingsFrom("agent.json", text);
    } catch (const error &refused) {
        return refused.kind() == error_kind::BadSettings ? refused.what() : "wrong kind";
    }
    return "accepted";
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto position = text.find(from);
    require(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

// Checks that each default of the schema is also the default of the struct's member.
void compareDefaults(const Json::Value &defaults, const Json::Value &members)
{
    for (const auto &name : defaults.getMemberNames()) {
        section(name, [&] {
            if (defaults[name].isObject())
                compareDefaults(defaults[name], members[name]);
            else
                check(compactJson(defaults[name]) == compactJson(members[name])
                      || defaults[name].asDouble() == members[name].asDouble());
        });
    }
}

} // namespace

Test(settings, accepted)
{
    section("the example for an entry is read, with defaults for the missing keys", [] {
        const auto entry =
                entrySettingsFrom("entry.json", fileText("examples/settings/entry.json"));
        check(entry.id == "entry-1" && entry.listen.port == 8080);
        check(entry.peers.size() == 2 && toText(entry.peers[1]) == "127.0.0.3:8090");
        check(entry.shardLease == milliseconds(1'800'000) && entry.shards == 1);
        check(toJson(entrySettingsFrom("again", compactJson(toJson(entry)))) == toJson(entry));
    });
    section("the example for an agent is read", [] {
        const auto agent =
                agentSettingsFrom("agent.json", fileText("examples/settings/agent.json"));
        check(agent.upstream.slots == 8 && agent.upstream.connections == 64);
        check(agent.worker.size == (resources{16000, 60'000'000'000, 0}));
        check(toJson(agentSettingsFrom("again", compactJson(toJson(agent)))) == toJson(agent));
    });
    section("the defaults in the schema and in the structs are equal", [] {
        compareDefaults(defaultsOf(entrySettingsSchema()), toJson(entry_settings{}));
        compareDefaults(defaultsOf(agentSettingsSchema()), toJson(agent_settings{}));
    });
}

// A daemon with invalid settings must not start, and must print one line for each problem: its
// location, what was found and what is allowed. If a misspelt key were ignored, the daemon would
// run with the default instead.
Test(settings, refused)
{
    const auto entry = fileText("examples/settings/entry.json");
    const auto agent = fileText("examples/settings/agent.json");
    section("an unknown key names its line and the keys that exist", [&] {
        const auto text = refusalOf(replaced(entry, "\"peers\"", "\"pears\""));
        check(text.starts_with("entry.json:7: /pears: found unknown key \"pears\"; allowed: "));
        check(text.find("peers") != std::string::npos);
    });
    section("a value that is out of range, of the wrong type, or missing is refused", [&] {
        check(refusalOf(replaced(entry, "8090", "70000"))
              == "entry.json:6: /rpc/port: found 70000; allowed: integer from 0 to 65535");
        check(refusalOf(replaced(entry, "8090", "80.5"))
              == "entry.json:6: /rpc/port: found 80.5; allowed: integer from 0 to 65535");
        check(refusalOf(replaced(entry, "\"zone\": \"kartli-a\",", ""))
              == "entry.json:1: /zone: found nothing; allowed: a name: 1 to 63 letters, digits, "
                 "'.', '_' and '-', the first a letter or digit");
        check(refusalOf(replaced(entry, "127.0.0.3:8090", "rink.ge:8090"))
                      .starts_with("entry.json:7: /peers/1: found \"rink.ge:8090\"; allowed: an IP "
                                   "address and port"));
    });
    section("all problems are reported, one per line", [&] {
        const auto text = refusalOf(replaced(replaced(entry, "8090", "-1"), "8080", "true"));
        check(std::count(text.begin(), text.end(), '\n') == 1);
    });
    section("a truncated file and a duplicate key are refused", [&] {
        check(refusalOf(entry.substr(0, entry.size() / 2)).starts_with("entry.json:"));
        check(refusalOf(replaced(entry, "\"region\"", "\"id\"")).find("Duplicate key")
              != std::string::npos);
    });
    section("two settings that contradict each other are refused", [&] {
        check(refusalOf(replaced(entry, "\"weights\"", "\"lease_ms\": 2000, \"weights\""))
              == "entry.json:9: /lease_ms: found 2000; allowed: more than agent_lease_ms and "
                 "clock_margin_ms together");
        check(refusalOf(replaced(agent, "\"tickets\"", "\"tickets\", \"slots\": 65"), false)
                      .find("allowed: at least as many as slots")
              != std::string::npos);
    });
}
