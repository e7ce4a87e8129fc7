#include "soak/disruptor.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

#include <fmt/core.h>

namespace zinniabarrow::soak {

namespace {

constexpr milliseconds Grace{6000}; // from SIGTERM to SIGKILL, as the platform does

template <typename... Visitors>
struct overloaded : Visitors...
{
    using Visitors::operator()...;
};
template <typename... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

const char *signalName(int number)
{
    constexpr std::array<std::pair<int, const char *>, 5> Names{{{SIGTERM, "SIGTERM"},
                                                                 {SIGKILL, "SIGKILL"},
                                                                 {SIGSTOP, "SIGSTOP"},
                                                                 {SIGCONT, "SIGCONT"},
                                                                 {SIGHUP, "SIGHUP"}}};
    for (const auto &[known, name] : Names) {
        if (known == number)
            return name;
    }
    return "unknown";
}

std::string workerName(const worker_fault &fault)
{
    return fmt::format("worker-{}", fault.worker);
}

} // namespace

disruptor::disruptor(std::vector<disruption> plan, soak_system &system, timeline &record)
    : m_system(system)
    , m_record(record)
{
    for (auto &each : plan)
        m_plan.push_back({std::move(each)});
}

void disruptor::start()
{
    for (const auto &name : m_system.processNames())
        startProcess(name);
    m_startedAt = monotonic_clock::now();
}

void disruptor::tick(time_point now)
{
    for (auto &each : m_plan) {
        if (!each.hasBegun && timeOf(each.planned.from) <= now) {
            each.hasBegun = true;
            begin(each.planned, now);
        }
        if (each.hasBegun && !each.hasEnded && timeOf(each.planned.until) <= now) {
            each.hasEnded = true;
            end(each.planned);
        }
    }
    runLaterSteps(now);
    for (auto &[name, state] : m_processes)
        watchProcess(name, state, now);
}

bool disruptor::isCalm() const
{
    for (const auto &each : m_plan) {
        if (!each.hasEnded)
            return false;
    }
    for (const auto &[name, state] : m_processes) {
        if (state.restartAt != Never)
            return false;
    }
    return true;
}

void disruptor::begin(const disruption &planned, time_point now)
{
    std::visit(
            overloaded{
                    [&](const stop_process &action) {
                        beginStop(action, timeOf(planned.until), now);
                    },
                    [&](const kill_process &action) { beginKill(action, timeOf(planned.until)); },
                    [&](const freeze_process &action) {
                        m_processes.at(action.process).isFrozen =
                                sendSignal(action.process, SIGSTOP);
                    },
                    [&](const reload_process &action) { reload(action); },
                    [&](const store_fault &action) { setStoreFault(action, true); },
                    [&](const worker_fault &action) { beginWorkerFault(action); },
                    [&](const link_fault &action) { m_system.links().apply(action); },
            },
            planned.action);
}

void disruptor::beginStop(const stop_process &action, time_point restartAt, time_point now)
{
    auto &state = m_processes.at(action.process);
    if (state.restartAt != Never || !sendSignal(action.process, SIGTERM))
        return;
    state.killAt = now + Grace;
    state.restartAt = restartAt;
    if (!action.secondSignalAt)
        return;
    m_laterSteps.push_back({timeOf(*action.secondSignalAt), [this, process = action.process] {
                                if (m_processes.at(process).killAt == Never)
                                    return;
                                sendSignal(process, SIGTERM);
                                reload({process});
                            }});
}

void disruptor::beginKill(const kill_process &action, time_point restartAt)
{
    auto &state = m_processes.at(action.process);
    if (state.restartAt != Never || !sendSignal(action.process, SIGKILL))
        return;
    state.isKilled = true;
    state.restartAt = restartAt;
}

void disruptor::end(const disruption &planned)
{
    std::visit(overloaded{
                       [](const stop_process &) {},
                       [](const kill_process &) {},
                       [&](const freeze_process &action) { endFreeze(action); },
                       [](const reload_process &) {},
                       [&](const store_fault &action) { setStoreFault(action, false); },
                       [&](const worker_fault &action) { endWorkerFault(action); },
                       [&](const link_fault &action) { m_system.links().end(action); },
               },
               planned.action);
}

void disruptor::endFreeze(const freeze_process &action)
{
    if (std::exchange(m_processes.at(action.process).isFrozen, false))
        sendSignal(action.process, SIGCONT);
}

// SIGHUP ends a process that has just started and does not handle signals yet.
void disruptor::reload(const reload_process &action)
{
    if (m_system.hasLogged(action.process))
        sendSignal(action.process, SIGHUP);
}

void disruptor::runLaterSteps(time_point now)
{
    const auto due = std::stable_partition(m_laterSteps.begin(), m_laterSteps.end(),
                                           [&](const auto &step) { return step.at > now; });
    const std::vector<later_step> steps(due, m_laterSteps.end());
    m_laterSteps.erase(due, m_laterSteps.end());
    for (const auto &step : steps)
        step.run();
}

void disruptor::watchProcess(const std::string &name, process_state &state, time_point now)
{
    if (m_system.process(name).isRunning()) {
        if (now < state.killAt)
            return;
        sendSignal(name, SIGKILL);
        state.killAt = Never;
        state.isKilled = true;
        ++m_killedStops;
        return;
    }
    checkExit(name, state);
    if (state.restartAt == Never || now >= state.restartAt)
        startProcess(name);
}

// Does nothing for an exit that was checked before.
void disruptor::checkExit(const std::string &name, process_state &state)
{
    const auto code = m_system.process(name).waitForExit(milliseconds(0));
    // A process that has just started does not handle signals yet, and holds no connections.
    constexpr int EndedBySigterm = 128 + SIGTERM;
    const bool hasStopped = state.killAt != Never && (code == 0 || code == EndedBySigterm);
    const bool isExpected = state.isKilled || hasStopped;
    if (!isExpected && !state.hasExited) {
        m_failures.push_back(fmt::format("{} exited with code {} {}", name, code,
                                         state.killAt == Never ? "by itself" : "after SIGTERM"));
        note("exit", name, true, std::to_string(code));
    }
    state.hasExited = true;
}

void disruptor::startProcess(const std::string &name)
{
    m_processes[name] = {};
    m_system.start(name);
    note("start", name);
}

// False if the process has exited.
bool disruptor::sendSignal(const std::string &name, int number)
{
    auto &process = m_system.process(name);
    if (!process.isRunning())
        return false;
    note(signalName(number), name);
    process.signal(number);
    return true;
}

void disruptor::setStoreFault(const store_fault &fault, bool isBegin)
{
    auto &platform = m_system.platform();
    if (fault.kind == store_fault_kind::Unavailable)
        platform.setStoreUnavailable(isBegin);
    if (fault.kind == store_fault_kind::Silent)
        platform.setStoreSilent(isBegin);
    if (fault.kind == store_fault_kind::Slow)
        platform.setStoreDelay(isBegin ? fault.delay : milliseconds(0));
    if (fault.kind == store_fault_kind::AnswersLost)
        platform.loseStoreAnswers(isBegin ? fault.lostAnswerInterval : 0);
    note(std::string(nameOf(StoreFaultNames, fault.kind)), "store", isBegin,
         fmt::format("delay {} ms, each {}th answer lost", fault.delay.count(),
                     fault.lostAnswerInterval));
}

void disruptor::beginWorkerFault(const worker_fault &fault)
{
    const auto name = workerName(fault);
    const auto worker = static_cast<std::size_t>(fault.worker);
    if (fault.kind == worker_fault_kind::Crash) {
        note("worker_ended", name, true, "crashed");
        return m_system.platform().crashWorker(worker);
    }
    if (fault.kind == worker_fault_kind::Hang) {
        note("worker_hung", name);
        return m_system.platform().setWorkerHung(worker, true);
    }
    note("worker_leaving", name);
    m_system.platform().drainWorker(worker);
    m_laterSteps.push_back({timeOf(fault.leavesAt), [this, name, worker] {
                                note("worker_ended", name, true, "left");
                                m_system.platform().terminateWorker(worker);
                            }});
}

void disruptor::endWorkerFault(const worker_fault &fault)
{
    const auto name = workerName(fault);
    const auto worker = static_cast<std::size_t>(fault.worker);
    if (fault.kind == worker_fault_kind::Hang) {
        m_system.platform().setWorkerHung(worker, false);
        return note("worker_hung", name, false);
    }
    m_system.platform().restartWorker(worker);
    note("worker_started", name);
}

void disruptor::note(const std::string &kind, const std::string &target, bool isBegin,
                     const std::string &detail)
{
    m_record.note(fault_noted{kind, target, isBegin, detail});
}

} // namespace zinniabarrow::soak
