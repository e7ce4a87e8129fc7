// Tests the settings of job-entry and job-agent.
#include "app/job_settings.h"

#include <criterion/criterion.h>

#include "base/errors.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

job_entry_settings settingsWith(const std::string &members)
{
    return jobEntrySettingsFrom("local.json", R"({"id":"e1","zone":"z","callers":"127.0.0.1:1",)"
                                              R"("ready":"127.0.0.1:2","internal":"127.0.0.1:3",)"
                                              R"("store":"127.0.0.1:4")"
                                                      + members + "}");
}

job_agent_settings agentSettingsWith(const std::string &members)
{
    return jobAgentSettingsFrom("local.json", R"({"id":"a1","zone":"z","workers":"127.0.0.1:1",)"
                                              R"("worker":"127.0.0.1:2","internal":"127.0.0.1:3",)"
                                              R"("store":"127.0.0.1:4","service":"tickets",)"
                                              R"("stop_within_ms":900)"
                                                      + members + "}");
}

} // namespace

// Guards against a process that other ones can't reach, since they learn an address that isn't
// theirs to use.
Test(job_settings, advertised_address)
{
    const std::string advertised = R"(,"internal_advertise":"127.0.0.9:5")";
    section("it is the one listened on where nothing is said", [] {
        cr_assert_eq(toText(settingsWith("").advertisedAddress), "127.0.0.1:3");
        cr_assert_eq(toText(agentSettingsWith("").advertisedAddress), "127.0.0.1:3");
    });
    section("another one can be told", [&] {
        cr_assert_eq(toText(settingsWith(advertised).advertisedAddress), "127.0.0.9:5");
        cr_assert_eq(toText(agentSettingsWith(advertised).advertisedAddress), "127.0.0.9:5");
    });
    section("the process listens where it did", [&] {
        cr_assert_eq(toText(settingsWith(advertised).internalAddress), "127.0.0.1:3");
        cr_assert_eq(toText(agentSettingsWith(advertised).internalAddress), "127.0.0.1:3");
    });
    section("one that is no address is refused", [] {
        cr_assert_throw(settingsWith(R"(,"internal_advertise":"here")"), error);
        cr_assert_throw(agentSettingsWith(R"(,"internal_advertise":"")"), error);
    });
}

// Guards against an entry that others take for stronger than it is, or that does not start because
// of a setting that it could do without.
Test(job_settings, processor_time)
{
    section("it is the share of a core times the cores", [] {
        cr_assert_eq(settingsWith(R"(,"processor_share":0.069,"cores":2)").millicores, 138);
    });
    section("a whole core where nothing is said",
            [] { cr_assert_eq(settingsWith("").millicores, 1000); });
    section("values that make no sense are refused", [] {
        cr_assert_throw(settingsWith(R"(,"processor_share":0)"), error);
        cr_assert_throw(settingsWith(R"(,"cores":-1)"), error);
        cr_assert_throw(settingsWith(R"(,"cores":"two")"), error);
    });
}

// Guards against a worker that is left unused for seconds after each restart, where it holds its
// runs for a shorter time than most, and against one that holds them for longer than its agent
// assumes.
Test(job_settings, longest_hold)
{
    section("it is 10 s where nothing is said",
            [] { check(agentSettingsWith("").longestHold == seconds(10)); });
    section("another one can be told", [] {
        check(agentSettingsWith(R"(,"hold_at_most_ms":6000)").longestHold == seconds(6));
        check(agentSettingsWith(R"(,"hold_at_most_ms":15000)").longestHold == seconds(15));
    });
    section("values that make no sense are refused", [] {
        cr_assert_throw(agentSettingsWith(R"(,"hold_at_most_ms":0)"), error);
        cr_assert_throw(agentSettingsWith(R"(,"hold_at_most_ms":"long")"), error);
    });
}

// Guards against runs that outlast their lease on a machine that is suspended for longer than its
// agent assumes, and against a setting that leaves no time for holds.
Test(job_settings, longest_suspension)
{
    section("it is 4 s where nothing is said", [] {
        check(agentSettingsWith("").longestSuspension == seconds(4));
        check(settingsWith("").longestSuspension == seconds(4));
    });
    section("another one can be told", [] {
        const std::string longer = R"(,"suspended_at_most_ms":5000)";
        check(agentSettingsWith(longer).longestSuspension == seconds(5));
        check(settingsWith(longer).longestSuspension == seconds(5));
        check(agentSettingsWith(R"(,"suspended_at_most_ms":0)").longestSuspension == seconds(0));
    });
    section("values that make no sense are refused", [] {
        cr_assert_throw(agentSettingsWith(R"(,"suspended_at_most_ms":-1)"), error);
        cr_assert_throw(agentSettingsWith(R"(,"suspended_at_most_ms":5001)"), error);
        cr_assert_throw(settingsWith(R"(,"suspended_at_most_ms":"long")"), error);
    });
}

// Guards against an entry that refuses a single request of the largest size, or that does not bound
// the memory of callers' requests at all.
Test(job_settings, request_memory)
{
    section("32 MiB where nothing is said",
            [] { cr_assert_eq(settingsWith("").requestMemoryBytes, 32 * 1024 * 1024); });
    section("another amount can be told", [] {
        cr_assert_eq(settingsWith(R"(,"request_memory_bytes":4194304)").requestMemoryBytes,
                     4 * 1024 * 1024);
    });
    section("amounts that make no sense are refused", [] {
        cr_assert_throw(settingsWith(R"(,"request_memory_bytes":1048575)"), error);
        cr_assert_throw(settingsWith(R"(,"request_memory_bytes":1073741825)"), error);
        cr_assert_throw(settingsWith(R"(,"request_memory_bytes":"4 MB")"), error);
    });
}

// Guards against a feature that stays off, or goes on, because of a slip in the settings.
Test(job_settings, scheduling_features)
{
    section("all are off where nothing is said", [] {
        const auto features = settingsWith("").scheduling;
        cr_assert_not(features.learnsRunTimes || features.weighsWaits || features.sharesSlack
                      || features.copiesSlowTasks);
    });
    section("each is switched on by its name", [] {
        const auto features =
                settingsWith(R"(,"scheduling":{"weighed_waits":true,"shared_slack":false})")
                        .scheduling;
        cr_assert(features.weighsWaits);
        cr_assert_not(features.sharesSlack);
    });
    section("unknown names and other values are refused by name", [] {
        const auto problemOf = [](const std::string &members) -> std::string {
            try {
                settingsWith(members);
            } catch (const error &problem) {
                return problem.what();
            }
            return "";
        };
        cr_assert(problemOf(R"(,"scheduling":{"weighted":true})").find("scheduling.weighted")
                  != std::string::npos);
        cr_assert(problemOf(R"(,"scheduling":{"weighed_waits":1})").find("scheduling.weighed_waits")
                  != std::string::npos);
        cr_assert(problemOf(R"(,"scheduling":true)").find("'scheduling'") != std::string::npos);
    });
}
