// Runners crash, one at a time, and start again under the same id a fifth of a second later, while
// short tasks come all the time. Until an agent's next poll it does not know of the crash: its
// start calls are carried out by the new life of the runner, and its poll tells that life to forget
// ends up to a number that the earlier life had reached. A run that has ended as done between the
// two is forgotten unseen, and its task is started again.
#include <random>
#include <string>
#include <thread>

#include "cases.h"
#include "deployment.h"

namespace review {

namespace {

constexpr int Clients = 4;
constexpr double TrafficSeconds = 45;
constexpr double BetweenCrashes = 3;
constexpr double DownSeconds = 0.2;
constexpr int TaskMs = 40;
constexpr int TasksOfJob = 4;

Json::Value makeJob()
{
    Json::Value work(Json::objectValue);
    work["work-ms"] = TaskMs;
    Json::Value step(Json::objectValue);
    step["count"] = TasksOfJob;
    step["cpu"] = 100;
    step["mem-mb"] = 50;
    step["estimate-ms"] = TaskMs;
    Json::Value body(Json::objectValue);
    body["spec"] = toText(work);
    body["steps"].append(step);
    return body;
}

std::string jobName(int client, int number)
{
    auto name = std::to_string(client) + std::to_string(1'000'000 + number);
    return std::string(16 - name.size(), 'a') + name;
}

} // namespace

bool playRebornRunner(record &log, bool hasTrouble)
{
    auto &system = deployment::make({3, 8}, log);
    system.start();
    const auto trafficEnd = log.seconds() + TrafficSeconds;
    for (int client = 0; client < Clients; ++client) {
        std::thread([&system, &log, trafficEnd, client] {
            for (int number = 0; log.seconds() < trafficEnd; ++number) {
                system.trySubmit("/fast/", jobName(client, number), makeJob());
                waitSeconds(0.05);
            }
        }).detach();
    }
    std::mt19937 random(72);
    std::uniform_real_distribution<double> moment(0, 0.5);
    for (std::size_t next = 0; log.seconds() < trafficEnd - 5; ++next) {
        waitSeconds(BetweenCrashes + moment(random));
        auto &worker = *system.machines()[next % system.machines().size()].worker;
        if (!hasTrouble)
            continue;
        worker.crash();
        waitSeconds(DownSeconds);
        worker.restart();
    }
    while (log.seconds() < trafficEnd + 10)
        waitSeconds(0.1);
    const auto starts = system.ledger().startsAfterDone();
    log.write(std::to_string(starts) + " starts of tasks that had been done");
    return starts == 0;
}

} // namespace review
