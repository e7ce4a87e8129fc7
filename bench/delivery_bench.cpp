// Cost of the delivery library per request, in bytes and processor time, by number of requests.
#include <malloc.h>

#include <benchmark/benchmark.h>
#include <fmt/core.h>

#include "delivery/attempt_guard.h"
#include "delivery/request_flow.h"

using namespace zinniabarrow;
using namespace zinniabarrow::delivery;

namespace {

double allocatedBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

request_arrived makeRequest(int number, const std::string &key, time_point now)
{
    return {fmt::format("e1.1-{}", number),
            "tickets",
            "POST",
            "/hold",
            "kartli",
            key,
            1,
            now + seconds(30)};
}

// Answers every action immediately, like an entry whose table and upstream work.
class healthy_entry
{
public:
    void handle(const flow_event &event, time_point now)
    {
        for (const auto &action : m_flow.handle(event, now))
            std::visit([&](const auto &each) { answer(each, now); }, action);
    }

private:
    template <typename Action>
    void answer(const Action &, time_point)
    { }

    void answer(const commit_claims &action, time_point now)
    {
        const write_result applied{write_outcome::Applied, ++m_sequence, {}};
        handle(claims_committed{action.transaction.operationId, applied}, now);
    }

    void answer(const read_claims &action, time_point now)
    {
        Json::Value era(Json::objectValue);
        era["era"] = 1;
        handle(claims_read{action.readId, true, {{"claim-era", era, 1}}}, now);
    }

    void answer(const choose_upstream &action, time_point now)
    {
        handle(upstream_chosen{action.id, "a1"}, now);
    }

    void answer(const forward_request &action, time_point now)
    {
        handle(attempt_ended{action.id, action.attempt, m_answer}, now);
    }

    complete_answer m_answer{200, {}, 1024, std::string(1024, 'x')};
    std::uint64_t m_sequence = 1;
    request_flow m_flow{
            "e1.1", {}, [](error_kind) { return true; }, [](const std::string &) { return true; }};
};

// Records of finished attempts that an agent keeps.
void guardRecords(benchmark::State &state)
{
    const auto count = static_cast<int>(state.range(0));
    for (auto _ : state) {
        const auto before = allocatedBytes();
        attempt_guard guard(1, {});
        for (int i = 0; i < count; ++i) {
            const auto id = fmt::format("e1.1-{}", i);
            guard.admitAttempt({id, 1, 1, false, time_point(seconds(1))}, time_point{});
            guard.startAttempt(id, 1, time_point{});
            guard.recordEnd(id, 1, executed::Yes, time_point{});
        }
        state.counters["bytes_each"] = (allocatedBytes() - before) / count;
    }
    state.SetItemsProcessed(state.iterations() * count);
}

// Requests without an idempotency key that wait for the choice of an upstream.
void requestsInFlight(benchmark::State &state)
{
    const auto count = static_cast<int>(state.range(0));
    for (auto _ : state) {
        const auto before = allocatedBytes();
        request_flow flow(
                "e1.1", {}, [](error_kind) { return true; },
                [](const std::string &) { return true; });
        for (int i = 0; i < count; ++i)
            flow.handle(makeRequest(i, "", time_point{}), time_point{});
        state.counters["bytes_each"] = (allocatedBytes() - before) / count;
    }
    state.SetItemsProcessed(state.iterations() * count);
}

// Requests with an idempotency key, from arrival until their outcome is stored; each answer of 1
// KiB is cached.
void keyedRequests(benchmark::State &state)
{
    const auto count = static_cast<int>(state.range(0));
    for (auto _ : state) {
        const auto before = allocatedBytes();
        healthy_entry entry;
        time_point now{};
        for (int i = 0; i < count; ++i) {
            now += milliseconds(20);
            entry.handle(makeRequest(i, fmt::format("key-{}", i), now), now);
            entry.handle(flow_tick{}, now + milliseconds(10));
        }
        state.counters["bytes_each"] = (allocatedBytes() - before) / count;
    }
    state.SetItemsProcessed(state.iterations() * count);
}

BENCHMARK(guardRecords)->Arg(20'000)->Arg(200'000);
BENCHMARK(requestsInFlight)->Arg(1000)->Arg(4000);
BENCHMARK(keyedRequests)->Arg(1000)->Arg(8000);

} // namespace

BENCHMARK_MAIN();
