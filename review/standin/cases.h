// The cases of the review that are scripts.
#pragma once

#include <cstdio>
#include <iostream>

#include "deployment.h"

namespace review {

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline std::string jobId(std::uint64_t number)
{
    char text[20];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(number * 0x9e3779b97f4a7c15ULL
                                                  + 0x5c0e7a21d94b36f8ULL));
    return text;
}

// About `bytes` bytes of Georgian text: what a ticket says.
inline std::string georgianText(std::size_t bytes)
{
    const std::string word = "ბილეთი საციგურაოზე ";
    std::string text;
    while (text.size() + word.size() <= bytes)
        text += word;
    return text;
}

// Ends the case: exit code 1 if a rule was broken, 0 if all held.
[[noreturn]] inline void finish(deployment &system)
{
    checkHistory(system.all);
    bool isBroken = false;
    {
        const std::lock_guard lock(system.all.mutex);
        isBroken = !system.all.violations.empty();
        for (const auto &line : system.all.violations)
            std::cout << line << "\n";
        system.all.note(isBroken ? "RESULT broken" : "RESULT held");
    }
    std::cout.flush();
    system.leave(isBroken ? 1 : 0);
}

// Whether the job has nothing running now although a task's turn has come: the job was accepted,
// isn't over, and no runner works on it. The jobs of these cases have steps that don't wait.
inline bool hasNothingRunning(world &all, const std::string &id)
{
    for (const auto &[task, indexes] : all.runsOfTask) {
        if (!task.starts_with(id + "."))
            continue;
        for (const auto index : indexes) {
            if (all.runs[index].endedAt == 0)
                return false;
        }
    }
    return true;
}

// The part of all runners' processors that runs reserve now.
inline double usedShare(deployment &system)
{
    std::int64_t used = 0;
    std::int64_t room = 0;
    for (const auto &each : system.runners)
        room += each->options().cpu;
    for (const auto &run : system.all.runs) {
        const auto name = parseTask(run.task);
        if (run.endedAt == 0)
            used += system.all.jobs.at(name->job).steps[static_cast<std::size_t>(name->step)].cpu;
    }
    return static_cast<double>(used) / static_cast<double>(room);
}

// Rule LOST, from finish_s after the end of the traffic: for 3 s, an accepted job has nothing
// running although there is capacity for it twice over and under half of it is in use. Watches for
// `watchMs`.
inline void checkNothingLost(deployment &system, std::int64_t watchMs)
{
    constexpr std::int64_t FinishMs = 14'000;
    constexpr std::int64_t IdleMs = 3000;
    sleepMs(FinishMs);
    std::map<std::string, std::int64_t> idleSince;
    std::set<std::string> lost;
    const auto until = steadyMs() + watchMs;
    while (steadyMs() < until) {
        std::map<std::string, std::string> states;
        for (const auto &[id, asked] : system.all.jobs) {
            if (asked.accepted)
                states[id] = system.stateOf(id, 0);
        }
        const std::lock_guard lock(system.all.mutex);
        const bool hasRoom = usedShare(system) < 0.5;
        for (const auto &[id, state] : states) {
            const bool isOver = state == "completed" || state == "failed" || state == "cancelled";
            if (isOver || !hasRoom || !hasNothingRunning(system.all, id)) {
                idleSince.erase(id);
                continue;
            }
            const auto since = idleSince.emplace(id, steadyMs()).first->second;
            if (steadyMs() - since >= IdleMs && lost.insert(id).second)
                system.all.violate("LOST " + id + " is " + state + ", has nothing running for 3 s, "
                                   + std::to_string(static_cast<int>(100 * usedShare(system)))
                                   + "% of the capacity are in use");
        }
        sleepMs(200);
    }
    for (const auto &[id, asked] : system.all.jobs) {
        const auto state = system.stateOf(id, 0);
        const std::lock_guard lock(system.all.mutex);
        system.all.note("state " + id + " " + (state.empty() ? "(no answer)" : state));
    }
}

// Case 1. Jobs whose spec has the 4,000 bytes that PROTOCOL.md allows come at once. With the
// disruption they are as wide as the site's sheet lets them be, without it of the mean width.
[[noreturn]] inline void largeJobs(const std::string &record)
{
    constexpr int MeanWidth = 6;
    constexpr int LargestWidth = 36;
    constexpr int JobCount = 6;
    deployment_options options;
    options.recordFile = record;
    deployment system(options);
    if (!system.waitUntilReady())
        system.leave(2);
    std::vector<std::thread> clients;
    for (int number = 0; number < JobCount; ++number) {
        job asked;
        asked.id = jobId(static_cast<std::uint64_t>(number));
        asked.spec = georgianText(4000);
        step tasks;
        tasks.count = hasTrouble() ? LargestWidth : MeanWidth;
        tasks.cpu = 240;
        tasks.memMb = 480;
        tasks.workMs = 640;
        asked.steps = {tasks};
        clients.emplace_back([&system, asked, number] { system.submit(asked, number % 3); });
        sleepMs(150); // 6.7 jobs a second, as on a usual day
    }
    for (auto &client : clients)
        client.join();
    checkNothingLost(system, 12'000);
    finish(system);
}

// Case 2. Gangs of two contend for room: when two entries choose the same runners at the same
// moment, one member of a gang is refused, and the other one is stopped. The disruption: as a
// runner is told to stop a run, its agent is killed, and started again after a short delay; three
// times at most.
[[noreturn]] inline void stoppedGangs(const std::string &record)
{
    constexpr std::int64_t TrafficMs = 20'000;
    constexpr std::int64_t RestartDelayMs = 200;
    constexpr std::int64_t BetweenKillsMs = 4000;
    constexpr int MostKills = 3;
    deployment_options options;
    options.recordFile = record;
    options.agents = 5;
    deployment system(options);
    if (!system.waitUntilReady())
        system.leave(2);
    std::vector<std::thread> clients;
    int kills = 0;
    std::uint64_t number = 0;
    const auto begin = steadyMs();
    std::int64_t nextKill = 0;
    while (steadyMs() - begin < TrafficMs) {
        for (int entry = 0; entry < 3; ++entry) {
            job asked;
            asked.id = jobId(number++);
            asked.spec = "season block";
            step tasks;
            tasks.count = 2;
            tasks.cpu = 9000;
            tasks.memMb = 1000;
            tasks.workMs = 400;
            tasks.gang = true;
            asked.steps = {tasks};
            clients.emplace_back([&system, asked, entry] { system.submit(asked, entry); });
        }
        const auto nextJobs = steadyMs() + 1000;
        while (steadyMs() < nextJobs) {
            for (std::size_t index = 0; index < system.runners.size(); ++index) {
                const bool isStopping = system.runners[index]->hasStopped.exchange(false);
                if (!isStopping || !hasTrouble() || kills == MostKills || steadyMs() < nextKill)
                    continue;
                system.agents[index]->kill();
                system.note("agent " + std::to_string(index) + " killed");
                sleepMs(RestartDelayMs);
                system.agents[index]->start();
                system.note("agent " + std::to_string(index) + " started");
                ++kills;
                nextKill = steadyMs() + BetweenKillsMs;
            }
            sleepMs(5);
        }
    }
    for (auto &client : clients)
        client.join();
    sleepMs(5000);
    if (hasTrouble() && kills == 0)
        system.leave(2); // no run was stopped, so that there was nothing to try
    finish(system);
}

// Case 3. Jobs that fill the runners and are cancelled 0.2 s after their ack, while the next job
// waits for room and a stream of short tasks goes on. The disruption: some runners carry out starts
// whose answers are lost.
[[noreturn]] inline void lostStarts(const std::string &record)
{
    constexpr std::int64_t TrafficMs = 70'000;
    constexpr double LossyRunners = 0.45;
    constexpr double LostShare = 0.025;
    constexpr std::int64_t LossMs = 5500;
    deployment_options options;
    options.recordFile = record;
    options.agents = 5;
    deployment system(options);
    if (!system.waitUntilReady())
        system.leave(2);
    std::uint64_t number = 0;
    const auto begin = steadyMs();
    const auto makeJob = [&](int count, int cpu, int workMs) {
        job asked;
        asked.id = jobId(number++);
        asked.spec = "season block";
        step tasks;
        tasks.count = count;
        tasks.cpu = cpu;
        tasks.memMb = 200;
        tasks.workMs = workMs;
        asked.steps = {tasks};
        return asked;
    };
    std::vector<std::thread> clients;
    std::int64_t nextLoss = 0;
    while (steadyMs() - begin < TrafficMs) {
        if (hasTrouble() && steadyMs() >= nextLoss) {
            nextLoss = steadyMs() + LossMs;
            const auto lossy = static_cast<std::size_t>(
                    LossyRunners * static_cast<double>(system.runners.size()));
            const auto first = static_cast<std::size_t>(nextLoss) % system.runners.size();
            for (std::size_t index = 0; index < system.runners.size(); ++index) {
                const auto place = (index + first) % system.runners.size();
                system.runners[place]->lostShare = index < lossy ? LostShare : 0;
            }
        }
        // Six tasks of 2 cores a runner, cancelled at once; the next ones wait for their room.
        const auto filling = makeJob(30, 2000, 5000);
        clients.emplace_back([&system, filling] {
            if (!system.submit(filling, 0))
                return;
            sleepMs(200);
            system.cancel(filling.id, 0);
        });
        for (int slice = 0; slice < 8; ++slice) {
            const auto brief = makeJob(20, 200, 150);
            clients.emplace_back([&system, brief, slice] { system.submit(brief, slice % 3); });
            if (slice == 3) {
                const auto waiting = makeJob(30, 2000, 300);
                clients.emplace_back([&system, waiting] { system.submit(waiting, 0); });
            }
            sleepMs(200);
        }
    }
    for (auto &client : clients)
        client.join();
    sleepMs(3000);
    finish(system);
}

// Case 4. Gangs with `anti-affinity` 1. With the disruption, large jobs that come at once, they
// have six members, without it one. Nothing else happens.
[[noreturn]] inline void spreadGangs(const std::string &record)
{
    constexpr int MeanWidth = 6;
    constexpr int JobCount = 10;
    deployment_options options;
    options.recordFile = record;
    deployment system(options);
    if (!system.waitUntilReady())
        system.leave(2);
    std::vector<std::thread> clients;
    for (int number = 0; number < JobCount; ++number) {
        job asked;
        asked.id = jobId(static_cast<std::uint64_t>(number));
        asked.spec = "season block";
        step tasks;
        tasks.count = hasTrouble() ? MeanWidth : 1;
        tasks.cpu = 240;
        tasks.memMb = 480;
        tasks.workMs = 640;
        tasks.gang = true;
        tasks.antiAffinity = 1;
        asked.steps = {tasks};
        clients.emplace_back([&system, asked, number] { system.submit(asked, number % 3); });
        sleepMs(150);
    }
    for (auto &client : clients)
        client.join();
    sleepMs(5000);
    finish(system);
}

// Returns only if there is no such case.
inline void runCase(const std::string &name, const std::string &record)
{
    if (name == "large-jobs")
        largeJobs(record);
    if (name == "stopped-gangs")
        stoppedGangs(record);
    if (name == "lost-starts")
        lostStarts(record);
    if (name == "spread-gangs")
        spreadGangs(record);
}

} // namespace review
