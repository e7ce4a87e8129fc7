// Carries out the plan of a soak on its processes, its store and its workers, and notes each
// disruption in the timeline.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "soak/plan.h"
#include "soak/system.h"
#include "soak/timeline.h"

namespace zinniabarrow::soak {

class disruptor
{
public:
    disruptor(std::vector<disruption> plan, soak_system &system, timeline &record);

    // Starts all processes, the plan's time begins.
    void start();
    // Begins and ends what is due, and starts processes that have exited. To be called often.
    void tick(time_point now);
    // All disruptions have ended, and all processes run.
    bool isCalm() const;
    // Processes that ended by themselves, or with an exit code other than 0 after SIGTERM.
    const std::vector<std::string> &failures() const { return m_failures; }
    int killedStops() const { return m_killedStops; } // planned stops that took too long

private:
    struct planned_disruption
    {
        disruption planned;
        bool hasBegun = false;
        bool hasEnded = false;
    };
    struct process_state
    {
        time_point killAt = Never;    // if it still runs then
        time_point restartAt = Never; // if it has exited then; Never: it is not to exit
        bool isFrozen = false;
        bool isKilled = false;
        bool hasExited = false; // and its exit code was checked
    };
    struct later_step
    {
        time_point at;
        std::function<void()> run;
    };

    time_point timeOf(milliseconds sinceStart) const { return m_startedAt + sinceStart; }
    void begin(const disruption &planned, time_point now);
    void beginStop(const stop_process &action, time_point restartAt, time_point now);
    void beginKill(const kill_process &action, time_point restartAt);
    void end(const disruption &planned);
    void endFreeze(const freeze_process &action);
    void reload(const reload_process &action);
    void runLaterSteps(time_point now);
    void checkExit(const std::string &name, process_state &state);
    void watchProcess(const std::string &name, process_state &state, time_point now);
    void startProcess(const std::string &name);
    bool sendSignal(const std::string &name, int number);
    void setStoreFault(const store_fault &fault, bool isBegin);
    void beginWorkerFault(const worker_fault &fault);
    void endWorkerFault(const worker_fault &fault);
    void note(const std::string &kind, const std::string &target, bool isBegin = true,
              const std::string &detail = {});

    std::vector<planned_disruption> m_plan;
    soak_system &m_system;
    timeline &m_record;
    time_point m_startedAt{};
    std::map<std::string, process_state> m_processes;
    std::vector<later_step> m_laterSteps;
    std::vector<std::string> m_failures;
    int m_killedStops = 0;
};

} // namespace zinniabarrow::soak
