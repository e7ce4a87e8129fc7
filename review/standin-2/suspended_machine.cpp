// A side machine is cut off for 12 s and is suspended for 4 s of them. Its runner's steady clock
// does not count these 4 s, so its hold outlasts the lease that the entries wait for, and the task
// is started elsewhere while the first run goes on.
#include <algorithm>

#include "cases.h"
#include "deployment.h"

namespace review {

bool playSuspendedMachine(record &log, bool hasTrouble)
{
    constexpr double CutSeconds = 12;
    constexpr double SuspendedFrom = 2;
    constexpr double SuspendedSeconds = 4;
    auto &system = deployment::make({3, 8}, log);
    system.start();
    const std::string job = "5c0e7a21d94b36f8";
    const std::string task = job + ".0.0.0";
    Json::Value work(Json::objectValue);
    work["work-ms"] = 20'000;
    Json::Value step(Json::objectValue);
    step["count"] = 1;
    step["cpu"] = 1000;
    step["mem-mb"] = 500;
    step["estimate-ms"] = 20'000;
    Json::Value body(Json::objectValue);
    body["spec"] = toText(work);
    body["steps"].append(step);
    system.submit("/slow/", job, body);
    const auto first = system.machineOf(task);
    waitSeconds(1);
    const auto began = log.seconds();
    bool isCut = false;
    bool isSuspended = false;
    if (hasTrouble) {
        system.cutOff(first);
        isCut = true;
    }
    bool runsTwice = false;
    while (log.seconds() < began + 30) {
        const auto passed = log.seconds() - began;
        const bool shouldBeSuspended =
                hasTrouble && passed >= SuspendedFrom && passed < SuspendedFrom + SuspendedSeconds;
        if (shouldBeSuspended != isSuspended) {
            shouldBeSuspended ? system.suspend(first) : system.resume(first);
            isSuspended = shouldBeSuspended;
        }
        if (isCut && passed >= CutSeconds) {
            system.heal(first);
            isCut = false;
        }
        // A suspended runner is not counted: it does nothing.
        const auto runs = std::count_if(system.machines().begin(), system.machines().end(),
                                        [&](const auto &side) { return side.worker->runs(task); });
        if (runs > 1 && !isSuspended && !runsTwice) {
            runsTwice = true;
            log.write("TWICE: " + task + " runs on two runners that are up");
        }
        waitSeconds(0.01);
    }
    system.stateOf("/slow/", job);
    return !runsTwice;
}

} // namespace review
