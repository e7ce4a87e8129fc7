// Shared by the process tests: a small fleet, load that runs beside a scenario, and checks of what
// callers and operators are guaranteed.
#pragma once

#include <csignal>
#include <string>
#include <thread>

#include "section.h"
#include "standins/batch.h"
#include "standins/fleet.h"
#include "standins/load.h"

namespace zinniabarrow::tests {

using namespace zinniabarrow::standins;

constexpr milliseconds WaitLimit{45'000}; // upper bound for waits on conditions; not a measurement

inline fleet_options smallFleet()
{
    fleet_options options;
    options.binaries = ZB_BINARIES;
    options.workers = 4;
    return options;
}

// Waits until every running entry routes to `upstreams` upstreams; false after WaitLimit.
inline bool waitForUpstreams(fleet &system, unsigned upstreams)
{
    return waitUntil(
            [&] {
                for (unsigned entry = 0; entry < system.options().entries; ++entry) {
                    if (!system.entry(entry)->isRunning())
                        continue;
                    if (system.rpc(entry, "status", Json::objectValue)["upstreams"].size()
                        != upstreams)
                        return false;
                }
                return true;
            },
            WaitLimit);
}

// Starts all processes and waits until every entry routes to every upstream.
inline void startAndWait(fleet &system)
{
    system.startAll();
    if (!waitForUpstreams(system, system.options().workers))
        cr_assert_fail("not all upstreams are known to all entries; daemons that have ended: %s",
                       system.describeEnded().c_str());
}

// Runs `scenario` once a sixth of the requests is completed, while another thread goes on sending
// the rest; returns when both have ended.
template <typename Scenario>
void runUnderLoad(fleet &system, const load_options &options, load_result &result,
                  Scenario &&scenario)
{
    load_generator load(system, options, result);
    std::thread callers([&] { load.run(); });
    waitUntil([&] { return load.completedRequests() >= options.requests / 6; }, WaitLimit);
    scenario();
    callers.join();
}

// Describes the refusals by reason, for the message of a failed check.
inline std::string describeRefusals(const load_result &result)
{
    std::string text;
    for (const auto &[reason, count] : result.refusedByReason)
        text += reason + " " + std::to_string(count) + "; ";
    return text;
}

inline void checkGuaranteesKept(fleet &system, const load_result &result)
{
    check(result.wrongAnswers == 0);
    for (const auto &broken : findGuaranteeViolations(system, result))
        cr_expect(false, "%s: %s", sectionName().c_str(), broken.c_str());
}

inline void checkTraceClean(const fleet &system)
{
    for (const auto &violation : checkFleetTrace(system))
        cr_expect(false, "%s: %s: %s", sectionName().c_str(),
                  std::string(nameOf(violation.kind)).c_str(), violation.detail.c_str());
}

inline batch_options batchOf(int tasks, int runMs)
{
    batch_options batch;
    batch.tasks = tasks;
    batch.runMs = runMs;
    return batch;
}

inline bool waitForStarts(const fleet &system, const batch_options &batch)
{
    return waitUntil(
            [&] {
                return countTraced(system, "started", batch.job)
                       == static_cast<unsigned>(batch.tasks);
            },
            WaitLimit);
}

// Starts all processes with `batch` and waits until its first task has started.
inline void startWithBatch(fleet &system, const batch_options &batch)
{
    system.startAll();
    system.putFolderFile("10-base.json", makeBaseConfig(system.options()));
    system.putFolderFile("20-batch.json", makeBatchConfig(batch));
    require(waitUntil([&] { return countTraced(system, "started", batch.job) > 0; }, WaitLimit));
}

inline bool waitForEnds(const fleet &system, const batch_options &batch)
{
    return waitUntil(
            [&] {
                return countTraced(system, "ended", batch.job)
                       == static_cast<unsigned>(batch.tasks);
            },
            WaitLimit);
}

inline void checkEachEndedOnce(const fleet &system, const batch_options &batch)
{
    check(countTraced(system, "ended", batch.job) == static_cast<unsigned>(batch.tasks));
    checkTraceClean(system);
}

inline void setPlatformDown(fleet &system, bool down)
{
    Json::Value fault(Json::objectValue);
    fault["down"] = down;
    system.setFault(system.platformAddress(), fault);
}

} // namespace zinniabarrow::tests
