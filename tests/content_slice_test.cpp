// An agent's part of the configuration: bytes a change, and what lost, late and older answers do.
#include <cstdio>

#include "base/errors.h"
#include "base/json.h"
#include "config/content_slice.h"
#include "config/generation_follower.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::config;
using namespace zinniabarrow::tests;

namespace {

const time_point Start{seconds(1000)};

generation_content contentOf(int jobs, std::int64_t replicas)
{
    generation_content content;
    content.mergedConfig.services["tickets"].pool = "shared";
    content.mergedConfig.services["tickets"].replicas = replicas;
    content.mergedConfig.services["lockers"].pool = "shared";
    content.mergedConfig.pools["shared"].workers = 11;
    content.mergedConfig.pools["other"].workers = 5;
    for (int job = 0; job < jobs; ++job) {
        auto &batch = content.mergedConfig.jobs["job-" + std::to_string(job)];
        batch.team = "rinks";
        batch.pool = "shared";
    }
    return content;
}

generation_follower agentFollower()
{
    follower_settings settings{"agent", "agent"};
    settings.scope = content_scope{"tickets", "shared"};
    return generation_follower(settings);
}

// An entry that works by `generation`.
struct entry_with_content
{
    entry_with_content(std::uint64_t generation, const generation_content &content)
    {
        follower.adoptContent(generation, contentText(content));
    }
    generation_follower follower{follower_settings{"entry", "entry"}};
};

read_content contentQueryIn(const generation_actions &actions)
{
    require(actions.size() == 1 && std::holds_alternative<read_content>(actions[0]));
    return std::get<read_content>(actions[0]);
}

// Question and answer over the wire; counts their bytes.
content_read askOverWire(const generation_follower &entry, const read_content &query,
                         std::size_t &bytes)
{
    const auto asked = compactJson(toJson(query));
    const auto answered =
            compactJson(answerReadContent(entry, readContentFromJson(parseJson(asked))));
    bytes += asked.size() + answered.size();
    return contentReadFromJson(query.request, parseJson(answered));
}

// The agent hears of the entry's generation and takes it up; returns the bytes that it cost.
std::size_t followEntry(generation_follower &agent, const generation_follower &entry)
{
    std::size_t bytes = 0;
    const auto query = contentQueryIn(agent.handle(report_received{entry.report()}, Start));
    const auto adoptActions = agent.handle(askOverWire(entry, query, bytes), Start);
    check(!adoptActions.empty());
    return bytes;
}

// What the same change costs a process that asks for the whole.
std::size_t wholeBytes(const generation_follower &entry)
{
    generation_follower wholeFollower(follower_settings{"agent", "agent"});
    return followEntry(wholeFollower, entry);
}

} // namespace

// 1,200 changes a day at 2 KB a second leave 144 kB for each change, however many jobs all teams
// have. What an agent asks for must not grow with them; the generation still rises at every agent.
Test(content_slice, bytes_of_a_change)
{
    for (const int jobs : {1'000, 10'000}) {
        section(std::to_string(jobs) + " jobs", [&] {
            auto agent = agentFollower();
            const auto first =
                    followEntry(agent, entry_with_content(1, contentOf(jobs, 3)).follower);
            const entry_with_content elsewhere(2, contentOf(jobs + 1, 3));
            const auto unchanged = followEntry(agent, elsewhere.follower);
            check(agent.generation() == 2 && agent.digest() == elsewhere.follower.digest());
            const entry_with_content own(3, contentOf(jobs, 4));
            const auto changed = followEntry(agent, own.follower);
            check(agent.generation() == 3 && agent.report().digest == own.follower.digest());
            check(agent.content().mergedConfig.services.at("tickets").replicas == 4);
            check(agent.content().mergedConfig.services.size() == 1
                  && agent.content().mergedConfig.jobs.empty());
            std::fprintf(stderr,
                         "| %d jobs | whole %zu B | slice %zu B | no change to it %zu B |\n", jobs,
                         wholeBytes(own.follower), changed, unchanged);
            check(first < 1'000 && changed < 1'000 && unchanged < 250);
        });
    }
}

// An operator is told that a change is in force when each process says so. An agent must never say
// it without the content, nor go back: answers are lost, late, cut, or "you have it" to one that
// hasn't.
Test(content_slice, answers_that_go_wrong)
{
    const entry_with_content first(1, contentOf(10, 3));
    const entry_with_content second(2, contentOf(10, 4));
    std::size_t bytes = 0;
    section("a lost answer is asked for again, and a late one after a newer changes nothing", [&] {
        auto agent = agentFollower();
        const auto lost =
                contentQueryIn(agent.handle(report_received{first.follower.report()}, Start));
        const auto late = askOverWire(first.follower, lost, bytes);
        generation_actions again;
        for (auto now = Start; again.empty() && now < Start + seconds(5); now += milliseconds(100))
            again = agent.handle(tick{}, now);
        agent.handle(askOverWire(first.follower, contentQueryIn(again), bytes), Start);
        check(agent.generation() == 1);
        followEntry(agent, second.follower);
        check(agent.handle(late, Start).empty() && agent.generation() == 2);
        check(agent.content().mergedConfig.services.at("tickets").replicas == 4);
    });
    section("an entry that works by another generation by now gives nothing", [&] {
        auto agent = agentFollower();
        const auto query =
                contentQueryIn(agent.handle(report_received{first.follower.report()}, Start));
        check(!askOverWire(second.follower, query, bytes).isFound);
    });
    section("a cut slice, and another agent's under this digest", [&] {
        for (const bool isCut : {true, false}) {
            auto agent = agentFollower();
            const auto query =
                    contentQueryIn(agent.handle(report_received{first.follower.report()}, Start));
            auto answer = askOverWire(first.follower, query, bytes);
            if (isCut)
                answer.content.pop_back();
            else
                answer.content = contentText(makeSlice(contentOf(10, 3), {"lockers", "shared"}));
            agent.handle(answer, Start);
            check(agent.generation() == 0 && agent.counters().invalidContents == 1);
        }
    });
    section("\"you have it\" to a newcomer, or for another slice", [&] {
        auto agent = agentFollower();
        const auto query =
                contentQueryIn(agent.handle(report_received{first.follower.report()}, Start));
        auto answer = askOverWire(first.follower, query, bytes);
        answer.content.clear();
        agent.handle(answer, Start);
        check(agent.generation() == 0 && agent.counters().invalidContents == 1);
    });
}

// Processes are replaced one by one, the agents first.
Test(content_slice, releases_side_by_side)
{
    const entry_with_content entry(1, contentOf(10, 3));
    section("an older entry ignores the scope and gives the whole", [&] {
        auto agent = agentFollower();
        auto query = contentQueryIn(agent.handle(report_received{entry.follower.report()}, Start));
        query.scope.reset();
        std::size_t bytes = 0;
        agent.handle(askOverWire(entry.follower, query, bytes), Start);
        check(agent.generation() == 1 && agent.digest() == entry.follower.digest());
        section("then a newer one a slice, and an older one the whole again", [&] {
            followEntry(agent, entry_with_content(2, contentOf(10, 4)).follower);
            check(agent.generation() == 2 && agent.content().mergedConfig.jobs.empty());
        });
    });
    section("an older agent and an entry ask for the whole", [&] {
        generation_follower wholeFollower(follower_settings{"agent", "agent"});
        followEntry(wholeFollower, entry.follower);
        check(wholeFollower.content().mergedConfig.jobs.size() == 10);
    });
    section("an agent gives nobody its slice for the whole", [&] {
        auto agent = agentFollower();
        followEntry(agent, entry.follower);
        check(!agent.contentTextFor(entry.follower.digest()));
    });
}

// A question is read before it reaches the entry's configuration duty: a broken one that threw
// there would end the duty, and no configuration would come into force any more.
Test(content_slice, broken_questions)
{
    for (const auto *text : {R"({})", R"({"digest":7})", R"({"digest":"d","scope":"tickets"})",
                             R"({"digest":"d","scope":{"service":"tickets"}})",
                             R"({"digest":"d","scope":{"service":"tickets","pool":1}})"}) {
        section(text, [&] {
            bool isRefused = false;
            try {
                readContentFromJson(parseJson(text));
            } catch (const zinniabarrow::error &problem) {
                isRefused = problem.kind() == error_kind::BadRequest;
            }
            check(isRefused);
        });
    }
}
