// Tests the content slices that agents fetch: the bytes that a change takes, and that lost, late,
// wrong or outdated answers never put a wrong configuration in force.
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

// An entry in which this generation is in force.
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

// Converts query and answer to JSON text and back, as between processes, and counts their bytes.
content_read askOverWire(const generation_follower &entry, const read_content &query,
                         std::size_t &bytes)
{
    const auto queryText = compactJson(toJson(query));
    const auto answerText =
            compactJson(answerReadContent(entry, readContentFromJson(parseJson(queryText))));
    bytes += queryText.size() + answerText.size();
    return contentReadFromJson(query.request, parseJson(answerText));
}

// The agent receives the entry's report and adopts its generation. Returns the bytes transferred.
std::size_t followEntry(generation_follower &agent, const generation_follower &entry)
{
    std::size_t bytes = 0;
    const auto query = contentQueryIn(agent.handle(report_received{entry.report()}, Start));
    const auto adoptActions = agent.handle(askOverWire(entry, query, bytes), Start);
    check(!adoptActions.empty());
    return bytes;
}

// The bytes that the same change takes for a process that fetches the whole content.
std::size_t wholeContentBytes(const generation_follower &entry)
{
    generation_follower wholeFollower(follower_settings{"agent", "agent"});
    return followEntry(wholeFollower, entry);
}

} // namespace

// The control traffic must not grow with the number of jobs: 1,200 changes a day at 2 KB per second
// leave 144 kB for each change. So the bytes that an agent fetches for a change must not depend on
// the jobs of all teams, though the generation rises at every agent.
Test(content_slice, bytes_of_a_change)
{
    for (const int jobs : {1'000, 10'000}) {
        section(std::to_string(jobs) + " jobs", [&] {
            auto agent = agentFollower();
            const auto first =
                    followEntry(agent, entry_with_content(1, contentOf(jobs, 3)).follower);
            const entry_with_content otherChange(2, contentOf(jobs + 1, 3));
            const auto unchanged = followEntry(agent, otherChange.follower);
            check(agent.generation() == 2 && agent.digest() == otherChange.follower.digest());
            const entry_with_content ownChange(3, contentOf(jobs, 4));
            const auto changed = followEntry(agent, ownChange.follower);
            check(agent.generation() == 3 && agent.report().digest == ownChange.follower.digest());
            check(agent.content().mergedConfig.services.at("tickets").replicas == 4);
            check(agent.content().mergedConfig.services.size() == 1
                  && agent.content().mergedConfig.jobs.empty());
            std::fprintf(stderr,
                         "| %d jobs | whole %zu B | slice %zu B | unchanged slice %zu B |\n", jobs,
                         wholeContentBytes(ownChange.follower), changed, unchanged);
            check(first < 1'000 && changed < 1'000 && unchanged < 250);
        });
    }
}

// An operator sees a change as in force when every process reports its generation. Answers can be
// lost, late or truncated, or omit a content that the agent doesn't hold. The agent must never
// report a generation without its content, nor return to an older one.
Test(content_slice, faulty_answers)
{
    const entry_with_content first(1, contentOf(10, 3));
    const entry_with_content second(2, contentOf(10, 4));
    std::size_t bytes = 0;
    section("after a lost answer the query is repeated; a late answer after a newer one changes "
            "nothing",
            [&] {
                auto agent = agentFollower();
                const auto lostQuery = contentQueryIn(
                        agent.handle(report_received{first.follower.report()}, Start));
                const auto lateAnswer = askOverWire(first.follower, lostQuery, bytes);
                generation_actions retry;
                for (auto now = Start; retry.empty() && now < Start + seconds(5);
                     now += milliseconds(100))
                    retry = agent.handle(tick{}, now);
                agent.handle(askOverWire(first.follower, contentQueryIn(retry), bytes), Start);
                check(agent.generation() == 1);
                followEntry(agent, second.follower);
                check(agent.handle(lateAnswer, Start).empty() && agent.generation() == 2);
                check(agent.content().mergedConfig.services.at("tickets").replicas == 4);
            });
    section("an entry with another generation in force answers without content", [&] {
        auto agent = agentFollower();
        const auto query =
                contentQueryIn(agent.handle(report_received{first.follower.report()}, Start));
        check(!askOverWire(second.follower, query, bytes).isFound);
    });
    section("a truncated slice, and the slice of another agent under this digest, are refused",
            [&] {
                for (const bool isCut : {true, false}) {
                    auto agent = agentFollower();
                    const auto query = contentQueryIn(
                            agent.handle(report_received{first.follower.report()}, Start));
                    auto answer = askOverWire(first.follower, query, bytes);
                    if (isCut)
                        answer.content.pop_back();
                    else
                        answer.content =
                                contentText(makeSlice(contentOf(10, 3), {"lockers", "shared"}));
                    agent.handle(answer, Start);
                    check(agent.generation() == 0 && agent.counters().invalidContents == 1);
                }
            });
    section("an answer that omits the content is refused by an agent that holds none", [&] {
        auto agent = agentFollower();
        const auto query =
                contentQueryIn(agent.handle(report_received{first.follower.report()}, Start));
        auto answer = askOverWire(first.follower, query, bytes);
        answer.content.clear();
        agent.handle(answer, Start);
        check(agent.generation() == 0 && agent.counters().invalidContents == 1);
    });
}

// During an upgrade processes of two releases run at the same time: processes are replaced one by
// one, the agents first. Each release must be able to fetch contents from the other one.
Test(content_slice, mixed_releases)
{
    const entry_with_content entry(1, contentOf(10, 3));
    section("an older entry ignores the scope and answers with the whole content", [&] {
        auto agent = agentFollower();
        auto query = contentQueryIn(agent.handle(report_received{entry.follower.report()}, Start));
        query.scope.reset();
        std::size_t bytes = 0;
        agent.handle(askOverWire(entry.follower, query, bytes), Start);
        check(agent.generation() == 1 && agent.digest() == entry.follower.digest());
        section("after its upgrade the entry answers with a slice", [&] {
            followEntry(agent, entry_with_content(2, contentOf(10, 4)).follower);
            check(agent.generation() == 2 && agent.content().mergedConfig.jobs.empty());
        });
    });
    section("an older agent and an entry request the whole content", [&] {
        generation_follower wholeFollower(follower_settings{"agent", "agent"});
        followEntry(wholeFollower, entry.follower);
        check(wholeFollower.content().mergedConfig.jobs.size() == 10);
    });
    section("an agent does not offer its slice as the whole content", [&] {
        auto agent = agentFollower();
        followEntry(agent, entry.follower);
        check(!agent.contentTextFor(entry.follower.digest()));
    });
}

// A malformed query must be refused before it reaches the entry's configuration actor. An exception
// there would end the actor, and no configuration would come into force any more.
Test(content_slice, malformed_queries)
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
