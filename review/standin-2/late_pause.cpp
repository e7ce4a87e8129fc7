// A serving task is over its target beside a task that fills, so the agent pauses the latter. The
// first call that does so gets no answer and is carried out 11 s later, after the call that ended
// the pause. The task stands still from then on, and its job never ends.
#include <algorithm>
#include <atomic>
#include <utility>

#include "cases.h"
#include "deployment.h"

namespace review {

namespace {

Json::Value makeJob(const Json::Value &work, Json::Value step)
{
    step["count"] = 1;
    Json::Value body(Json::objectValue);
    body["spec"] = toText(work);
    body["steps"].append(step);
    return body;
}

} // namespace

bool playLatePause(record &log, bool hasTrouble)
{
    static constexpr std::chrono::milliseconds Lateness{11'000};
    constexpr double FinishSeconds = 14; // finish_s of the site
    constexpr double IdleSeconds = 3;    // of LOST
    static std::atomic<bool> isFirstPause{hasTrouble};
    const auto fault = [](const std::string &path,
                          const Json::Value &body) -> std::optional<late_call> {
        if (path == "/-/pace" && body["percent"].asInt() < 100 && isFirstPause.exchange(false))
            return late_call{Lateness};
        return std::nullopt;
    };
    auto &system = deployment::make({2, 1, fault}, log);
    system.start();
    const std::string serving = "1c0e7a21d94b36f8";
    const std::string filling = "2c0e7a21d94b36f8";
    const std::string task = filling + ".0.0.0";
    Json::Value work(Json::objectValue);
    work["lasts"] = true;
    Json::Value step(Json::objectValue);
    step["cpu"] = 3000;
    step["mem-mb"] = 1000;
    step["estimate-ms"] = 1000;
    step["long-running"] = true;
    step["image"] = "gate";
    step["target-ms"] = 100;
    system.submit("/fast/", serving, makeJob(work, step));
    system.machineOf(serving + ".0.0.0");
    waitSeconds(2);
    Json::Value fillingWork(Json::objectValue);
    fillingWork["work-ms"] = 20'000;
    fillingWork["fills"] = true;
    fillingWork["cpu"] = 2000;
    Json::Value fillingStep(Json::objectValue);
    fillingStep["cpu"] = 2000;
    fillingStep["mem-mb"] = 500;
    fillingStep["estimate-ms"] = 20'000;
    fillingStep["fills"] = true;
    fillingStep["image"] = "season";
    system.submit("/slow/", filling, makeJob(fillingWork, fillingStep));
    auto &worker = *system.machines().front().worker;
    system.machineOf(task);
    const auto trafficEnd = log.seconds();
    worker.setTails(20, 150); // from now on until the first pause it is disturbed
    double stillSince = log.seconds();
    double longestStill = 0;
    bool hasPaused = false;
    while (log.seconds() < trafficEnd + 60 && !worker.isDone(task)) {
        const auto percent = worker.percentOf(task);
        if (percent == std::optional(0) && !std::exchange(hasPaused, true))
            worker.setTails(20, 20);
        if (percent.value_or(0) > 0 || log.seconds() < trafficEnd + FinishSeconds)
            stillSince = log.seconds();
        longestStill = std::max(longestStill, log.seconds() - stillSince);
        waitSeconds(0.02);
    }
    const auto state = system.stateOf("/slow/", filling);
    log.write("the job has nothing at work for " + std::to_string(longestStill)
              + " s on end after finish_s");
    if (!hasPaused)
        throw cannot_run{"the agent did not pause the task"};
    return longestStill <= IdleSeconds && (worker.isDone(task) || state == "completed");
}

} // namespace review
