#include <algorithm>

#include "base/errors.h"
#include "base/json.h"
#include "base/random.h"
#include "config/folder.h"
#include "config/validate.h"
#include "config_files.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::config;
using zinniabarrow::tests::baseFile;
using zinniabarrow::tests::folderAt;
using zinniabarrow::tests::section;

namespace {

using files = std::vector<folder_file>;

// Checks these files together with the base file (config_files.h).
folder_check checkWithBase(files list)
{
    list.push_back({"00-basis.json", baseFile()});
    return checkFolder(list);
}

// A file that defines the service "tickets" with these members.
std::string service(const std::string &members)
{
    return R"({"services": {"tickets": {)" + members + "}}}";
}

// The text of the first problem of these files together with the base file, or "accepted".
std::string firstProblem(files list)
{
    const auto result = checkWithBase(std::move(list));
    return result.isAcceptable() ? "accepted" : toText(result.problems.front());
}

const auto Tickets =
        service(R"("team": "gate", "pool": "rink", "size": {"millicores": 1000, "bytes": 1000})");

} // namespace

Test(folder, merge)
{
    section("files with later names take precedence, member by member", [] {
        const auto result = checkWithBase({{"b.json", service(R"("replicas": 3, "port": 80)")},
                                           {"a.json", Tickets},
                                           {"c.json", service(R"("replicas": 2)")}});
        const auto &tickets = result.mergedConfig.services.at("tickets");
        check(tickets.replicas == 2 && tickets.port == 80 && tickets.team == "gate");
        section("the file and line of each value are known", [&] {
            check(result.merged.locationOf("/services/tickets/replicas").file == "c.json");
            check(result.merged.locationOf("/services/tickets/port").file == "b.json");
            check(result.merged.locationOf("/services/tickets/none").file == "a.json");
        });
    });
    section("arrays are replaced as a whole", [] {
        const auto result =
                checkWithBase({{"a.json", R"({"pools": {"rink": {"zones": ["imereti-a"]}}})"}});
        check(result.mergedConfig.pools.at("rink").zones == std::vector<std::string>{"imereti-a"});
    });
    section("null deletes a member, an object, or all objects of a kind", [] {
        const auto oneMember = checkWithBase({{"a.json", Tickets},
                                              {"b.json", service(R"("replicas": 7)")},
                                              {"c.json", service(R"("replicas": null)")}});
        check(oneMember.mergedConfig.services.at("tickets").replicas == 1);
        const auto oneObject = checkWithBase(
                {{"a.json", Tickets}, {"b.json", R"({"services": {"tickets": null}})"}});
        check(oneObject.isAcceptable() && oneObject.mergedConfig.services.empty());
        const auto allServices =
                checkWithBase({{"a.json", Tickets}, {"b.json", R"({"services": null})"}});
        check(allServices.isAcceptable() && allServices.mergedConfig.services.empty());
        const auto absentObject = checkWithBase({{"a.json", R"({"jobs": {"absent": null}})"}});
        check(absentObject.isAcceptable());
    });
    section("an object that is deleted and then defined again does not keep its earlier members",
            [] {
                const auto redefined =
                        checkWithBase({{"a.json", Tickets},
                                       {"b.json", R"({"services": {"tickets": null}})"},
                                       {"c.json", service(R"("replicas": 2)")}});
                check(redefined.problems.size() == 3); // team, pool and size are gone
                check(redefined.problems.front().file == "c.json");
            });
    section("a file whose values are all replaced is reported, with the replacing file", [] {
        const auto result = checkWithBase({{"a.json", Tickets},
                                           {"b.json", service(R"("replicas": 2)")},
                                           {"c.json", service(R"("replicas": 3)")}});
        check(result.merged.overriddenBy
              == (std::map<std::string, std::string>{{"b.json", "c.json"}}));
    });
    section("other files in the folder are ignored", [] {
        check(checkWithBase({{"README.md", "# no JSON"}, {".a.json.swp", "{"}, {"a.json", Tickets}})
                      .isAcceptable());
    });
}

// For an invalid folder an operator sees file, line, what was found and what is allowed, and no
// part of the folder is accepted: if only part of an edit came into force, the configuration would
// be one that nobody wrote.
Test(folder, validation)
{
    section("a truncated file, an unknown key and a wrong type are refused", [] {
        check(firstProblem({{"a.json", "{\n\"jobs\": {"}}).starts_with("a.json:2: /: found "));
        check(firstProblem({{"a.json", "{\n\n\"job\": {}}"}})
              == "a.json:3: /job: found unknown key \"job\"; allowed: jobs, pools, services, "
                 "teams");
        check(firstProblem({{"a.json", service("\n\"replicas\": \"2\"")}})
              == "a.json:2: /services/tickets/replicas: found \"2\"; allowed: integer from 0 to "
                 "100000, or null to delete");
        check(firstProblem({{"a.json", "null"}}).find("/: found null") != std::string::npos);
        check(firstProblem({{"a.json", R"({"jobs": {"a/b": {}}})"}})
                      .find("/jobs/a~1b: found the name")
              != std::string::npos);
    });
    section("a required member that no file contains is a problem", [] {
        check(firstProblem({{"a.json", service(R"("team": "gate", "pool": "rink")")}})
                      .starts_with("a.json:1: /services/tickets/size: found nothing; allowed: "));
    });
    section("references to unknown teams and pools are refused", [] {
        check(firstProblem({{"a.json", Tickets}, {"b.json", service("\n\n\"team\": \"gates\"")}})
              == "b.json:3: /services/tickets/team: found unknown team \"gates\"; allowed: gate");
        check(firstProblem({{"a.json", Tickets}, {"b.json", R"({"pools": {"rink": null}})"}})
              == "a.json:1: /services/tickets/pool: found unknown pool \"rink\"; allowed: none, as "
                 "the folder has no pool");
    });
    section("a size that never fits is reported with its limit", [] {
        check(firstProblem(
                      {{"a.json", Tickets}, {"b.json", service(R"("size": {"bytes": 60001})")}})
              == "b.json:1: /services/tickets/size/bytes: found 60001; allowed: at most 60000, the "
                 "largest worker of pool rink; it never fits");
        check(firstProblem({{"a.json", R"({"jobs": {"j": {"team": "gate", "pool": "rink",
                "size": {"millicores": 1, "bytes": 1, "accelerators": 1}}}})"}})
                      .find("/size/accelerators: found 1; allowed: at most 0, the largest worker")
              != std::string::npos);
        check(firstProblem({{"a.json", Tickets},
                            {"b.json", R"({"teams": {"gate": {"quota": {"bytes": 999}}}})"}})
                      .find("allowed: at most 999, the quota of team gate; it never fits")
              != std::string::npos);
    });
    section("sums that exceed the pool or the quota are refused", [] {
        // 11 workers of 16000 millicores and 60000 bytes; a quota of 160000 millicores.
        check(firstProblem({{"a.json", Tickets},
                            {"b.json", service(R"("replicas": 200, "size": {"bytes": 30001})")}})
              == "b.json:1: /services/tickets/replicas: found 200; allowed: at most 11, which the "
                 "11 workers of pool rink hold");
        check(firstProblem({{"a.json", Tickets}, {"b.json", service(R"("replicas": 161)")}})
                      .find("found 161000 millicores of services up to this one; allowed: at most "
                            "160000, the quota of team gate")
              != std::string::npos);
    });
    section("if two services together exceed a limit, the problem is in the later file", [] {
        const auto replicasChange = service(R"("replicas": 100)");
        auto other = Tickets;
        other.replace(other.find("tickets"), 7, "holds");
        auto otherChange = replicasChange;
        otherChange.replace(otherChange.find("tickets"), 7, "holds");
        check(firstProblem({{"b.json", Tickets},
                            {"c.json", replicasChange},
                            {"a.json", other},
                            {"d.json", otherChange}})
                      .starts_with("b.json:1: /services/tickets: found 200000 millicores"));
    });
    section("services that fit one by one exceed the pool together", [] {
        auto other = Tickets;
        other.replace(other.find("tickets"), 7, "holds");
        check(firstProblem({{"a.json", other},
                            {"b.json", Tickets},
                            {"c.json", R"({"teams": {"gate": {"quota": {"millicores": 1000000}}},
                                "services": {"tickets": {"replicas": 100},
                                             "holds": {"replicas": 100}}})"}})
                      .starts_with(
                              "b.json:1: /services/tickets: found 200000 millicores of "
                              "services up to this one; allowed: at most 176000, the workers"));
    });
    section("sums of very large numbers do not wrap around", [] {
        const auto text = firstProblem({{"a.json", Tickets}, {"b.json", R"({
                    "teams": {"gate": {"quota": {"bytes": 9007199254740992}}},
                    "pools": {"rink": {"workers": 100000, "worker": {"bytes": 9007199254740992}}},
                    "services": {"tickets": {"replicas": 100000,
                        "size": {"millicores": 1, "bytes": 9007199254740992}}}})"}});
        check(text.find("found 9223372036854775807 bytes of services") != std::string::npos);
    });
    section("limits on the number and size of files are enforced", [] {
        folder_limits small;
        small.maxFileBytes = 10;
        small.maxFiles = 1;
        const auto result = checkFolder({{"a.json", Tickets}, {"b.json", "{}"}}, small);
        check(result.problems.size() == 2 && result.problems[0].file == "a.json");
    });
    section("the example folder is accepted and merged as documented", [] {
        const auto result = checkFolder(folderAt("examples/folder"));
        require(result.isAcceptable());
        check(result.mergedConfig.services.at("tickets").replicas == 9);
        check(result.mergedConfig.services.at("tickets").port == 0);
        check(!result.mergedConfig.jobs.contains("old-report"));
        check(configurationFromJson(toJson(result.mergedConfig)) == result.mergedConfig);
    });
}

namespace {

Json::Value randomValue(random_generator &random, int depth)
{
    static const std::vector<std::string> names = {
            "services",   "jobs",  "pools",    "teams", "tickets", "rink", "gate",  "size",
            "millicores", "bytes", "replicas", "zones", "team",    "pool", "quota", "~a/b"};
    static const std::vector<Json::Value> leaves = {
            Json::Value(),     Json::Value(1),      Json::Value(-1),     Json::Value(1e300),
            Json::Value(true), Json::Value("rink"), Json::Value("gate"), Json::Value("")};
    const auto kind = drawIndex(random, depth > 0 ? 3 : 1);
    if (kind == 0)
        return leaves[drawIndex(random, leaves.size())];
    Json::Value value(kind == 1 ? Json::arrayValue : Json::objectValue);
    for (auto count = drawIndex(random, 4); count > 0; --count) {
        if (kind == 1)
            value.append(randomValue(random, depth - 1));
        else
            value[names[drawIndex(random, names.size())]] = randomValue(random, depth - 1);
    }
    return value;
}

// A file that sets random members of a valid folder to random values. The resulting folder may be
// valid or not.
std::string randomPatch(random_generator &random)
{
    static const std::vector<std::string> pointers = {"services.tickets.replicas",
                                                      "services.tickets.size.bytes",
                                                      "services.tickets.team",
                                                      "services.tickets",
                                                      "pools.rink.workers",
                                                      "pools.rink.zones",
                                                      "pools.rink",
                                                      "teams.gate.quota.millicores",
                                                      "teams.gate",
                                                      "jobs.season-bookings.tasks",
                                                      "jobs.season-bookings.pool",
                                                      "services"};
    Json::Value root(Json::objectValue);
    for (auto count = 1 + drawIndex(random, 3); count > 0; --count) {
        const Json::Path path('.' + pointers[drawIndex(random, pointers.size())]);
        try {
            path.make(root) = drawIndex(random, 2) == 0
                                      ? Json::Value(static_cast<int>(drawIndex(random, 400)))
                                      : randomValue(random, 2);
        } catch (const Json::Exception &) {
            continue; // the path passes through a value that is not an object
        }
    }
    return compactJson(root);
}

std::string corrupted(std::string text, random_generator &random)
{
    const auto position = drawIndex(random, text.size() + 1);
    switch (drawIndex(random, 4)) {
    case 0:
        return text.substr(0, position);
    case 1:
        return text.insert(position, 1, static_cast<char>(drawIndex(random, 256)));
    case 2:
        return text.erase(position, 1 + drawIndex(random, 8));
    default:
        return text;
    }
}

// The example folder with up to four random files, some of them with corrupted text.
files randomFolder(random_generator &random)
{
    files folder = folderAt("examples/folder");
    for (auto count = drawIndex(random, 5); count > 0; --count) {
        auto text = drawIndex(random, 8) == 0 ? compactJson(randomValue(random, 4))
                                              : randomPatch(random);
        if (drawIndex(random, 6) == 0)
            text = corrupted(std::move(text), random);
        folder.push_back({std::string(1, static_cast<char>('5' + drawIndex(random, 5)))
                                  + std::to_string(count) + ".json",
                          std::move(text)});
    }
    return folder;
}

// An independent implementation of RFC 7396, without locations, to compare with.
void applyPlainPatch(Json::Value &target, const Json::Value &change)
{
    if (!change.isObject()) {
        target = change;
        return;
    }
    if (!target.isObject())
        target = Json::Value(Json::objectValue);
    for (const auto &name : change.getMemberNames()) {
        if (change[name].isNull())
            target.removeMember(name);
        else
            applyPlainPatch(target[name], change[name]);
    }
}

Json::Value mergePlainly(files folder)
{
    std::sort(folder.begin(), folder.end(),
              [](const auto &a, const auto &b) { return a.name < b.name; });
    Json::Value merged(Json::objectValue);
    for (const auto &file : folder)
        applyPlainPatch(merged, parseJson(file.content));
    return merged;
}

// Checks what must hold for an accepted configuration, independently of the code under test.
bool isConsistent(const configuration &mergedConfiguration)
{
    std::map<std::string, double> poolCores;
    std::map<std::string, double> teamBytes;
    for (const auto &[name, spec] : mergedConfiguration.services) {
        if (!mergedConfiguration.pools.contains(spec.pool)
            || !mergedConfiguration.teams.contains(spec.team))
            return false;
        poolCores[spec.pool] += static_cast<double>(spec.size.millicores * spec.replicas);
        teamBytes[spec.team] +=
                static_cast<double>(spec.size.bytes) * static_cast<double>(spec.replicas);
    }
    for (const auto &[name, spec] : mergedConfiguration.jobs) {
        if (!mergedConfiguration.pools.contains(spec.pool)
            || !mergedConfiguration.teams.contains(spec.team))
            return false;
        if (spec.size.bytes > mergedConfiguration.pools.at(spec.pool).workerSize.bytes)
            return false;
    }
    for (const auto &[name, cores] : poolCores) {
        const auto &pool = mergedConfiguration.pools.at(name);
        if (cores > static_cast<double>(pool.workerSize.millicores * pool.workers))
            return false;
    }
    return std::all_of(teamBytes.begin(), teamBytes.end(), [&](const auto &sum) {
        return sum.second
               <= static_cast<double>(mergedConfiguration.teams.at(sum.first).quota.bytes);
    });
}

} // namespace

// Operators may write anything at any time. For random files the check must terminate with a result
// that doesn't depend on their order, and an accepted configuration must be consistent.
Test(folder, properties)
{
    constexpr int Folders = 4000;
    int accepted = 0;
    for (int seed = 0; seed < Folders; ++seed) {
        random_generator random(static_cast<std::uint64_t>(seed));
        section("seed " + std::to_string(seed), [&] {
            auto folder = randomFolder(random);
            const auto result = checkFolder(folder);
            for (auto remaining = folder.size(); remaining > 1; --remaining)
                std::swap(folder[remaining - 1], folder[drawIndex(random, remaining)]);
            const auto permuted = checkFolder(folder);
            check(permuted.problems == result.problems);
            check(permuted.merged.value == result.merged.value);
            check(permuted.merged.overriddenBy == result.merged.overriddenBy);
            for (const auto &problem : result.problems)
                check(!problem.allowed.empty() && !problem.found.empty());
            if (!result.isAcceptable())
                return;
            ++accepted;
            check(result.merged.value == mergePlainly(folder));
            check(isConsistent(result.mergedConfig));
            check(configurationFromJson(toJson(result.mergedConfig)) == result.mergedConfig);
        });
    }
    section("both accepted and refused folders are frequent", [&] {
        check(accepted > Folders / 10 && accepted < Folders * 9 / 10);
        cr_log_info("%d of %d folders accepted", accepted, Folders);
    });
}
