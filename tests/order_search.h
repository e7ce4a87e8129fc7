// A seeded order of events on the modelled site: faults, delays and losses are drawn from the seed,
// and the rule on doubled work is checked at each start. A search for tasks that stand still has
// tasks that last and more kinds of trouble, and lets all be well at the end.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/core.h>

#include "base/random.h"
#include "cluster_simulation.h"
#include "stall_checker.h"

namespace zinniabarrow::tests {

enum class fault {
    None,
    EntryKilled,
    EntryCutOff,
    EntryFrozen,
    EntryLeaves,
    AgentKilled,
    AgentCutOff,
    AgentCutOffFromAll,
    StoreStopped,
    StartsTurnedAway,
    StartRefused,
    RoomTaken,
    // In a search for tasks that stand still only:
    AgentFrozen,
    EntryFrozenAsWritten,
    LinkCut,
    WorkerLeaves,
    WorkerBootsAnew,
};
constexpr std::size_t FirstFaultKinds = 12;
constexpr std::size_t FaultKinds = 17;

enum class search_kind { Doubled, Standing };

struct search_result
{
    std::vector<std::string> broken;
    std::vector<std::string> trace;
    int starts = 0;
    std::size_t jobsOver = 0;
};

class order_search
{
public:
    order_search(std::uint64_t seed, bool keepsTrace, search_kind kind = search_kind::Doubled)
        : m_kind(kind)
        , m_random(seed)
        , m_model(
                  Entries, Workers, [this](const auto &task, int) { return drawRun(task); },
                  [this](way what) { return drawPassage(what); }, keepsTrace,
                  kind == search_kind::Doubled ? model_kind::First : model_kind::Fuller)
    {
        const auto kinds = kind == search_kind::Doubled ? FirstFaultKinds : FaultKinds;
        for (std::size_t which = 0; which < kinds; ++which)
            m_weights[which] = between(0, 3);
        m_holdsUpOrders = between(0, 1) == 1;
        m_model.say("orders are {}held up", m_holdsUpOrders ? "" : "not ");
    }

    search_result run()
    {
        for (int job = 0; job < Jobs; ++job)
            m_model.after(milliseconds(1500 + job * between(100, 500)),
                          [this, job] { m_model.submit(fmt::format("j{}", job), drawJob()); });
        if (m_kind == search_kind::Standing)
            submitLasting();
        drawFaults();
        for (milliseconds spent{}; spent < Length && m_model.rules().broken().empty();
             spent += FaultEvery)
            m_model.run(FaultEvery);
        if (m_kind == search_kind::Standing)
            calmDown();
        return {broken(), m_model.trace(), m_model.rules().starts(), m_model.jobsOver()};
    }

private:
    std::vector<std::string> broken() const
    {
        auto all = m_model.rules().broken();
        const auto &standing = m_standing.broken();
        all.insert(all.end(), standing.begin(), standing.end());
        return all;
    }

    void submitLasting()
    {
        for (int job = 0; job < LastingJobs; ++job)
            m_model.after(milliseconds(1500 + job * between(100, 2000)),
                          [this, job] { m_model.submit(lastingName(job), lastingJob()); });
    }

    static std::string lastingName(int job) { return fmt::format("lasts{}", job); }

    static jobs::job_spec lastingJob()
    {
        auto spec = drawJob();
        spec.steps.resize(1);
        spec.steps[0].count = 2;
        spec.steps[0].isLongRunning = true;
        return spec;
    }

    // A task that lasts has to run within 10 s of calm, and a while later too.
    void calmDown()
    {
        m_isCalm = true;
        m_model.endTrouble();
        lookFor(LongestFreeze);
        m_model.say("calm");
        lookFor(milliseconds(10'000));
        m_standing.judge(m_model);
        lookFor(milliseconds(4000));
        m_standing.judge(m_model);
    }

    void lookFor(milliseconds span)
    {
        constexpr milliseconds LookEvery{50};
        for (milliseconds spent{}; spent < span; spent += LookEvery) {
            m_model.run(LookEvery);
            m_standing.look(m_model);
        }
    }

    static constexpr int LastingJobs = 6;
    static constexpr milliseconds LongestFreeze{5000};
    static constexpr int Entries = 3;
    static constexpr int Workers = 3;
    static constexpr int Jobs = 40;
    static constexpr milliseconds Length{25'000};
    static constexpr milliseconds FaultEvery{250};

    int between(int lowest, int highest)
    {
        return lowest
               + static_cast<int>(
                       pickIndex(m_random, static_cast<std::size_t>(highest - lowest + 1)));
    }
    bool inPercent(int percent) { return between(1, 100) <= percent; }
    milliseconds span(int lowest, int highest) { return milliseconds(between(lowest, highest)); }

    run_plan drawRun(const jobs::task_id &task)
    {
        if (task.job.starts_with("lasts"))
            return drawLastingRun();
        const auto how = inPercent(90) ? jobs::end_kind::Done : jobs::end_kind::Failed;
        return {span(100, 900), how};
    }

    run_plan drawLastingRun()
    {
        if (m_isCalm)
            return {milliseconds(60'000), jobs::end_kind::Done};
        const auto how = inPercent(50) ? jobs::end_kind::Done : jobs::end_kind::Failed;
        return {span(300, 15'000), how};
    }

    static jobs::job_spec drawJob()
    {
        jobs::job_spec spec;
        spec.payload = "payload";
        jobs::step_spec first;
        first.count = 3;
        first.size = {500, 100, 0};
        first.estimateMs = 600;
        auto second = first;
        second.count = 2;
        second.after = {0};
        spec.steps = {first, second};
        return spec;
    }

    // How often, in per cent, something on its way is lost or slow, and how slow.
    struct odds
    {
        int lost = 0;
        int slow = 0;
        int slowest = 0; // ms
        int heldUp = 0;  // for seconds
    };

    odds oddsOf(way what) const
    {
        switch (what) {
        case way::Order:
            return {3, 10, 700, m_holdsUpOrders ? 2 : 0};
        case way::OrderAnswer:
            return {5, 10, 300, 0};
        case way::Report:
            return {3, 10, 800, 0};
        case way::ReportAnswer:
            return {3, 10, 300, 0};
        case way::Start:
            return {2, 12, 1400, 0};
        case way::StartAnswer:
            return {4, 5, 300, 0};
        case way::Stop:
            return {3, 10, 300, 0};
        case way::Look:
            return {3, 5, 100, 0};
        case way::Write:
            return {5, 10, 200, 0};
        case way::WriteAnswer:
            return {8, 10, 100, 0};
        case way::Feed:
            return {0, 50, 60, 0};
        case way::Thaw:
            return {0, 50, 20, 0};
        }
        return {};
    }

    passage drawPassage(way what)
    {
        const auto chances = oddsOf(what);
        if (inPercent(chances.lost))
            return {milliseconds(0), true};
        if (inPercent(chances.heldUp))
            return {span(1000, 6000), false};
        if (inPercent(chances.slow))
            return {span(10, chances.slowest), false};
        return {span(1, 4), false};
    }

    void drawFaults()
    {
        m_model.after(FaultEvery, [this] {
            if (m_isCalm)
                return;
            if (m_model.now() >= m_begin + milliseconds(1000)) {
                revive();
                plant(drawFault());
            }
            drawFaults();
        });
    }

    fault drawFault()
    {
        int sum = 0;
        for (const auto weight : m_weights)
            sum += weight;
        auto at = between(0, sum);
        for (std::size_t which = 0; which < FaultKinds; ++which) {
            at -= m_weights[which];
            if (at < 0)
                return static_cast<fault>(which);
        }
        return fault::None;
    }

    void revive()
    {
        for (std::size_t at = 0; at < Entries; ++at) {
            if (!m_model.entry(at).lives && inPercent(20))
                m_model.beginEntryLife(m_model.entry(at));
        }
        for (std::size_t at = 0; at < Workers; ++at) {
            if (!m_model.agent(at).lives && inPercent(25))
                m_model.beginAgentLife(m_model.agent(at));
        }
    }

    modelled_entry &anyEntry() { return m_model.entry(pickIndex(m_random, Entries)); }
    modelled_agent &anyAgent() { return m_model.agent(pickIndex(m_random, Workers)); }
    modelled_worker &anyWorker() { return m_model.worker(pickIndex(m_random, Workers)); }

    void plant(fault what)
    {
        switch (what) {
        case fault::None:
            return;
        case fault::EntryKilled:
            return m_model.kill(anyEntry());
        case fault::EntryCutOff:
            return m_model.cutOff(anyEntry(), span(200, 4000));
        case fault::EntryFrozen:
            return m_model.freeze(anyEntry(), span(200, 5000));
        case fault::EntryLeaves:
            return m_model.leave(anyEntry());
        case fault::AgentKilled:
            return m_model.kill(anyAgent());
        case fault::AgentCutOff:
            return m_model.cutOff(anyAgent(), span(200, 4000));
        case fault::AgentCutOffFromAll:
            return m_model.cutOffFromAll(anyAgent(), span(4000, 9000));
        case fault::StoreStopped:
            return m_model.stopStore(span(100, 4000));
        case fault::StartsTurnedAway:
            return m_model.turnAway(anyWorker(), span(200, 4000));
        case fault::StartRefused:
            return anyWorker().refuseNext();
        case fault::RoomTaken:
            return takeRoom();
        case fault::AgentFrozen:
            return m_model.freeze(anyAgent(), span(200, 5000));
        case fault::EntryFrozenAsWritten:
            return m_model.freezeAsWritten(anyEntry(), span(200, 5000));
        case fault::LinkCut:
            return m_model.cutOffLink(anyAgent(), anyEntry(), span(200, 5000));
        case fault::WorkerLeaves:
            return m_model.leave(anyWorker(), span(200, 3000), span(200, 3000));
        case fault::WorkerBootsAnew:
            return m_model.bootAnew(anyWorker());
        }
    }

    void takeRoom()
    {
        auto &agent = anyAgent();
        agent.capacity = {1000, 1000, 0};
        m_model.after(span(200, 3000), [&agent] { agent.capacity = {16'000, 64'000, 0}; });
    }

    search_kind m_kind;
    random_generator m_random;
    order_model m_model;
    standing_rules m_standing;
    bool m_isCalm = false;
    time_point m_begin{m_model.now()};
    std::array<int, FaultKinds> m_weights{}; // drawn: each seed has faults of its own
    bool m_holdsUpOrders = false;            // for seconds, past the lives that they were for
};

} // namespace zinniabarrow::tests
