// Tests of report_requests together with report_targets, without a network and with a virtual
// clock: how soon an entry that begins to place tasks gets a report of each worker.
#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <vector>

#include <criterion/criterion.h>

#include "app/report_requests.h"
#include "app/report_targets.h"
#include "section.h"

using namespace zinniabarrow;
using zinniabarrow::tests::section;

namespace {

const time_point Start{seconds(1000)};
constexpr milliseconds Step{10};
constexpr milliseconds CallTime{10};
constexpr milliseconds ReportInterval{1000};
constexpr milliseconds ReportTimeout{2000};
constexpr milliseconds RequestInterval{100}; // between two looks at the requests that are due
constexpr milliseconds RequestRepeat{1500};
constexpr std::size_t NoLimit = std::numeric_limits<std::size_t>::max();
const std::string Entry = "entry-a";

struct scenario
{
    time_point beginsAt{}; // the entry places tasks from then on
    std::function<bool(time_point)> areReportsLost = [](time_point) { return false; };
    std::function<bool(time_point)> areAnswersLost = [](time_point) { return false; };
    std::function<bool(time_point)> areRequestsLost = [](time_point) { return false; };
    bool doAgentsKnowRequests = true; // false: agents of the release before
};

struct modelled_agent
{
    std::string worker;
    report_targets targets;
    std::uint64_t round = 0;
    time_point nextRoundAt{};
    time_point answerAt{};             // of the report in flight
    std::optional<bool> answer;        // whether the entry wants reports; empty: none arrives
    std::optional<time_point> askedAt; // a request is on its way until then
    time_point firstReportAt = time_point::max(); // since the entry began
    time_point lastReportAt{};                    // that the entry received
};

// One entry and the agents of fifty workers, whose rounds fall on different times.
class reporting_model
{
public:
    explicit reporting_model(scenario conditions)
        : m_scenario(std::move(conditions))
    {
        for (int number = 0; number < 50; ++number) {
            auto &agent = m_agents.emplace_back();
            agent.worker = "worker-" + std::to_string(number);
            agent.targets.setAddress(Entry, "a:1");
            agent.round = static_cast<std::uint64_t>(number / 10);
            agent.nextRoundAt = Start + (number % 10) * milliseconds(100);
        }
    }

    void runUntil(time_point end)
    {
        for (; m_now < end; m_now += Step) {
            for (auto &agent : m_agents)
                advance(agent);
            if ((m_now - Start) % RequestInterval == milliseconds(0) && doesEntryPlace())
                sendRequests();
        }
    }

    // The latest of all workers' first reports since the entry began.
    time_point allReportedAt() const
    {
        return std::ranges::max_element(m_agents, {}, &modelled_agent::firstReportAt)
                ->firstReportAt;
    }
    int requests() const { return m_requests; }
    int reports() const { return m_reports; }

private:
    bool doesEntryPlace() const { return m_now >= m_scenario.beginsAt; }

    void advance(modelled_agent &agent)
    {
        if (agent.askedAt && m_now >= *agent.askedAt) {
            agent.askedAt.reset();
            agent.targets.noteReportRequest(Entry);
        }
        if (agent.answerAt != time_point{} && m_now >= agent.answerAt)
            finishReport(agent);
        if (m_now < agent.nextRoundAt)
            return;
        agent.nextRoundAt += ReportInterval;
        if (!agent.targets.namesForRound(agent.round++).empty())
            sendReport(agent);
    }

    void sendReport(modelled_agent &agent)
    {
        if (!agent.targets.tryBeginReport(Entry, m_now))
            return;
        ++m_reports;
        const bool isLost = m_scenario.areReportsLost(m_now);
        const bool isAnswerLost = isLost || m_scenario.areAnswersLost(m_now);
        agent.answerAt = m_now + (isAnswerLost ? ReportTimeout : CallTime);
        agent.answer = isAnswerLost ? std::nullopt : std::optional(doesEntryPlace());
        if (isLost)
            return;
        m_requested.recordReport(agent.worker, doesEntryPlace(), m_now);
        if (doesEntryPlace())
            agent.firstReportAt = std::min(agent.firstReportAt, m_now);
    }

    void finishReport(modelled_agent &agent)
    {
        agent.answerAt = {};
        check(agent.targets.endReport(Entry));
        if (!agent.answer)
            return;
        agent.targets.setWantsReports(Entry, *agent.answer);
        if (agent.targets.needsAnotherReport(Entry))
            sendReport(agent);
    }

    void sendRequests()
    {
        for (const auto &worker : m_requested.takeDue(NoLimit, m_now)) {
            ++m_requests;
            if (m_scenario.areRequestsLost(m_now) || !m_scenario.doAgentsKnowRequests)
                continue;
            std::ranges::find(m_agents, worker, &modelled_agent::worker)->askedAt =
                    m_now + CallTime;
        }
    }

    scenario m_scenario;
    std::vector<modelled_agent> m_agents;
    report_requests m_requested;
    time_point m_now = Start;
    int m_requests = 0;
    int m_reports = 0;
};

// The longest time from `since` until the entry has a report of each worker, over all times in a
// turn of five rounds at which the entry may begin.
milliseconds longestWait(const std::function<scenario(time_point)> &scenarioOf, milliseconds calm)
{
    milliseconds longest{0};
    for (milliseconds offset{0}; offset < 5 * ReportInterval; offset += milliseconds(50)) {
        const auto beginsAt = Start + seconds(20) + offset;
        reporting_model model(scenarioOf(beginsAt));
        model.runUntil(beginsAt + seconds(20));
        const auto wait = model.allReportedAt() - (beginsAt + calm);
        longest = std::max(longest, std::chrono::duration_cast<milliseconds>(wait));
    }
    return longest;
}

std::function<bool(time_point)> within(time_point begin, time_point end)
{
    return [=](time_point now) { return begin <= now && now < end; };
}

constexpr auto OneInterval = ReportInterval + RequestInterval + CallTime;

} // namespace

// Guards against an entry that begins to place tasks by views of workers that are seconds old: it
// takes those without a recent report for silent, and a task waits beside a worker with room.
Test(report_requests, an_entry_that_begins_to_place)
{
    section("has a report of each worker after one interval and a call", [] {
        const auto wait = longestWait([](auto begin) { return scenario{begin}; }, {});
        check(wait <= OneInterval);
    });
    section("also where the reports before had timed out", [] {
        const auto wait = longestWait(
                [](auto begin) {
                    scenario result{begin};
                    result.areReportsLost = within(begin - seconds(7), begin - ReportTimeout);
                    return result;
                },
                {});
        check(wait <= OneInterval);
    });
    section("a report that is lost as it begins adds its time limit", [] {
        const auto wait = longestWait(
                [](auto begin) {
                    scenario result{begin};
                    result.areReportsLost = within(begin - ReportTimeout, begin + milliseconds(50));
                    return result;
                },
                milliseconds(50));
        check(wait <= OneInterval + ReportTimeout);
    });
}

// Guards against requests that are made once and lost, and against ones that never end.
Test(report_requests, lost_requests_and_answers)
{
    section("a lost request is repeated", [] {
        const auto wait = longestWait(
                [](auto begin) {
                    scenario result{begin};
                    result.areReportsLost = within(begin, begin + seconds(3));
                    result.areRequestsLost = result.areReportsLost;
                    return result;
                },
                seconds(3));
        check(wait <= OneInterval + std::max(RequestRepeat, ReportTimeout));
    });
    section("an agent that misses the answer which says so is asked", [] {
        const auto beginsAt = Start + seconds(20);
        scenario conditions{beginsAt};
        conditions.areAnswersLost = within(beginsAt, beginsAt + milliseconds(1500));
        reporting_model model(conditions);
        model.runUntil(beginsAt + seconds(6));
        const int before = model.reports();
        model.runUntil(beginsAt + seconds(8));
        check(model.reports() - before == 100);
    });
    section("agents that don't know requests report as before, and then aren't asked", [] {
        const auto beginsAt = Start + seconds(20);
        scenario conditions{beginsAt};
        conditions.doAgentsKnowRequests = false;
        reporting_model model(conditions);
        model.runUntil(beginsAt + seconds(10));
        check(model.allReportedAt() <= beginsAt + 5 * ReportInterval);
        const int before = model.requests();
        model.runUntil(beginsAt + seconds(20));
        check(model.requests() == before);
    });
}

// Guards against calls to workers of a fleet at rest, and to workers that are gone.
Test(report_requests, workers_that_are_not_asked)
{
    section("an entry that always places tasks asks nobody", [] {
        reporting_model model({Start});
        model.runUntil(Start + seconds(20));
        check(model.requests() == 0);
    });
    section("a worker that is gone is not asked for ever", [] {
        report_requests requests;
        requests.recordReport("worker-1", false, Start);
        int asked = 0;
        for (auto now = Start; now < Start + seconds(300); now += RequestInterval)
            asked += static_cast<int>(requests.takeDue(NoLimit, now).size());
        check(asked >= 10);
        check(requests.takeDue(NoLimit, Start + seconds(300)).empty());
        check(asked <= 60);
    });
    section("those that are due for the longest come first", [] {
        report_requests requests;
        requests.recordReport("worker-1", false, Start + seconds(1));
        requests.recordReport("worker-2", false, Start);
        using workers = std::vector<std::string>;
        check((requests.takeDue(1, Start + seconds(2)) == workers{"worker-2"}));
        check((requests.takeDue(1, Start + seconds(2)) == workers{"worker-1"}));
        check(requests.takeDue(1, Start + seconds(2)).empty());
    });
}
