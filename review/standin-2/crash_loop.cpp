// One lasting job of 21 jobs fails each time shortly after its start. Each failure counts against
// the runner on which it happened, so that all sound runners get no tasks for 6 s at a time, and
// the steps of other jobs wait although nearly all capacity is free.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "cases.h"
#include "deployment.h"

namespace review {

namespace {

constexpr int Chains = 20;
constexpr int ChainSteps = 16;
constexpr int TaskMs = 400;
constexpr double FinishSeconds = 14; // finish_s of the site
constexpr double IdleSeconds = 3;    // of LOST
constexpr double WatchedSeconds = 60;

Json::Value makeChain()
{
    Json::Value work(Json::objectValue);
    work["work-ms"] = TaskMs;
    Json::Value body(Json::objectValue);
    body["spec"] = toText(work);
    for (int number = 0; number < ChainSteps; ++number) {
        Json::Value step(Json::objectValue);
        step["count"] = 1;
        step["cpu"] = 200;
        step["mem-mb"] = 100;
        step["estimate-ms"] = TaskMs;
        if (number > 0)
            step["after"].append(number - 1);
        body["steps"].append(step);
    }
    return body;
}

Json::Value makeLastingJob(bool fails)
{
    Json::Value work(Json::objectValue);
    work["lasts"] = true;
    if (fails)
        work["fails-after-ms"] = 300;
    Json::Value step(Json::objectValue);
    step["count"] = 6;
    step["cpu"] = 500;
    step["mem-mb"] = 200;
    step["estimate-ms"] = 500;
    step["long-running"] = true;
    step["image"] = "gate";
    step["target-ms"] = 100;
    Json::Value body(Json::objectValue);
    body["spec"] = toText(work);
    body["steps"].append(step);
    return body;
}

// What the runners show of a chain of tasks.
struct chain_state
{
    int doneSteps = 0;
    double idleSince = 0; // nothing of it has run since then
    double longestIdle = 0;
};

bool isAnywhere(deployment &system, const std::string &task,
                bool (runner::*condition)(const std::string &))
{
    return std::any_of(system.machines().begin(), system.machines().end(),
                       [&](const auto &side) { return (*side.worker.*condition)(task); });
}

} // namespace

bool playCrashLoop(record &log, bool hasTrouble)
{
    auto &system = deployment::make({3, 4}, log);
    system.start();
    system.submit("/fast/", "00000000000000ff", makeLastingJob(hasTrouble));
    waitSeconds(2);
    std::map<std::string, chain_state> chains;
    for (int number = 0; number < Chains; ++number) {
        const auto job = "00000000000000" + std::to_string(10 + number);
        system.submit("/slow/", job, makeChain());
        chains[job].idleSince = log.seconds();
    }
    const auto judgedFrom = log.seconds() + FinishSeconds;
    while (log.seconds() < judgedFrom + WatchedSeconds) {
        for (auto &[job, chain] : chains) {
            if (chain.doneSteps == ChainSteps)
                continue;
            const auto task = job + ".0." + std::to_string(chain.doneSteps) + ".0";
            const auto now = log.seconds();
            if (isAnywhere(system, task, &runner::isDone)) {
                ++chain.doneSteps;
                chain.idleSince = now;
            }
            if (isAnywhere(system, task, &runner::runs) || now < judgedFrom)
                chain.idleSince = now;
            chain.longestIdle = std::max(chain.longestIdle, now - chain.idleSince);
        }
        waitSeconds(0.02);
    }
    bool isLost = false;
    for (const auto &[job, chain] : chains) {
        const auto state = system.stateOf("/slow/", job);
        log.write(job + ": " + std::to_string(chain.doneSteps) + " of " + std::to_string(ChainSteps)
                  + " steps done, state " + state + "; after finish_s nothing of it ran for up to "
                  + std::to_string(chain.longestIdle) + " s on end");
        isLost = isLost || chain.longestIdle > IdleSeconds;
    }
    return !isLost;
}

} // namespace review
