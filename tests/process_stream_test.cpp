// Large answers on real processes: delivered whole, or visibly incomplete, with bounded memory.
#include <atomic>
#include <sstream>
#include <utility>

#include <fmt/core.h>

#include "fleet_scenario.h"
#include "standins/standin.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

constexpr std::uint64_t MiB = 1024 * 1024;
constexpr std::uint64_t LargeBytes = 32 * MiB;
constexpr milliseconds LongDeadline{50'000}; // shorter than the longest that an entry allows

fleet_options oneEntryOneWorkerFleet()
{
    auto options = smallFleet();
    options.entries = 1;
    options.workers = 1;
    options.upstreamWorkMs = 1;
    options.entrySettings["max_answer_bytes"] = Json::UInt64(256 * MiB);
    options.agentSettings["max_answer_bytes"] = Json::UInt64(256 * MiB);
    return options;
}

std::string largeTarget(std::uint64_t bytes, const std::string &more = {})
{
    return "/tickets/large?bytes=" + std::to_string(bytes) + more;
}

struct received_answer
{
    std::string failure; // empty if the answer was whole
    http_response head;
    std::uint64_t bytes = 0;
    bool matchesPattern = true; // the received bytes match the pattern
};

// A caller that reads large answers part by part and compares them with the pattern as they arrive.
class large_caller
{
public:
    explicit large_caller(fleet &system)
        : m_pool(parseAddress(system.entryAddress(0)), limits())
    { }

    received_answer fetch(http_request request, milliseconds deadline = LongDeadline,
                          const std::function<void(std::uint64_t)> &afterPart = {})
    {
        request.headers["Zb-Deadline-Ms"] = std::to_string(deadline.count());
        const auto giveUpAt = monotonic_clock::now() + deadline + seconds(5);
        const auto result = m_pool.callStreaming(std::move(request), giveUpAt, {}, m_threads);
        received_answer answer;
        if (!std::holds_alternative<http_response>(result)) {
            answer.failure = "no answer";
            return answer;
        }
        answer.head = std::get<http_response>(result);
        if (!answer.head.stream) {
            answer.bytes = answer.head.body.size();
            answer.matchesPattern = answer.head.body == patternBytes(0, answer.bytes);
            answer.failure = answer.head.header("Zb-Error");
            return answer;
        }
        for (auto part = answer.head.stream->takePart(); !part.empty();
             part = answer.head.stream->takePart()) {
            answer.matchesPattern =
                    answer.matchesPattern && part == patternBytes(answer.bytes, part.size());
            answer.bytes += part.size();
            if (afterPart)
                afterPart(answer.bytes);
        }
        if (const auto end = answer.head.stream->end())
            answer.failure = nameOf(*end);
        answer.head.stream.reset();
        return answer;
    }

private:
    static http_pool_limits limits()
    {
        http_pool_limits limits;
        limits.answerBytesLimit = 512 * MiB;
        return limits;
    }

    http_pool m_pool;
    receiver_threads m_threads;
};

// A caller that reads the first part of a large answer and then waits for finish().
class paused_caller
{
public:
    paused_caller(fleet &system, std::uint64_t bytes)
        : m_caller(system)
        , m_thread([this, bytes] { read(bytes); })
    { }
    ~paused_caller() { finish(); }
    paused_caller(const paused_caller &) = delete;
    paused_caller &operator=(const paused_caller &) = delete;

    bool hasBegun() const { return m_hasBegun; }
    // Reads the rest; returns true if the answer was whole.
    bool finish()
    {
        m_isReleased = true;
        if (m_thread.joinable())
            m_thread.join();
        return m_isWhole;
    }

private:
    void read(std::uint64_t bytes)
    {
        const auto answer = m_caller.fetch(
                {"GET", largeTarget(bytes), {}, {}}, LongDeadline, [this](std::uint64_t) {
                    m_hasBegun = true;
                    waitUntil([this] { return m_isReleased.load(); }, WaitLimit);
                });
        m_hasBegun = true;
        m_isWhole = answer.failure.empty() && answer.bytes == bytes && answer.matchesPattern;
    }

    large_caller m_caller;
    std::atomic<bool> m_hasBegun{false};
    std::atomic<bool> m_isReleased{false};
    std::atomic<bool> m_isWhole{false};
    std::thread m_thread; // last: it uses all members above
};

http_request get(const std::string &target)
{
    return {"GET", target, {}, {}};
}

http_request purchase(const std::string &target, const std::string &key)
{
    return {"POST", target, {{"Idempotency-Key", key}, {"Operation", key}}, "seat"};
}

bool isWhole(const received_answer &answer, std::uint64_t bytes)
{
    return answer.failure.empty() && answer.head.status == 200 && answer.bytes == bytes
           && answer.matchesPattern;
}

// Value of a counter at the entry; 0 while it has not been counted.
double counterAt(fleet &system, const std::string &name)
{
    http_pool pool(parseAddress(system.entryAddress(0)));
    const auto result = pool.call(get("/metrics"), monotonic_clock::now() + seconds(5));
    std::istringstream lines(std::get<http_response>(result).body);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.rfind(name + " ", 0) == 0)
            return std::stod(line.substr(name.size() + 1));
    }
    return 0;
}

} // namespace

// A caller gets an answer of 32 MiB whole and unchanged, with the length that the upstream
// declared, or in chunks if it declared none. A purchase with an idempotency key (a keyed purchase)
// and such an answer runs once; a repeat is answered already_executed without the answer, which is
// too large to be stored. An answer above the configured limit is refused, not cut short.
Test(process_stream, large_answers_arrive_whole)
{
    auto options = oneEntryOneWorkerFleet();
    options.entrySettings["max_answer_bytes"] = Json::UInt64(LargeBytes);
    fleet system(options);
    startAndWait(system);
    large_caller caller(system);
    section("an answer with a declared length", [&] {
        const auto answer = caller.fetch(get(largeTarget(LargeBytes)));
        check(isWhole(answer, LargeBytes));
        check(answer.head.header("Content-Length") == std::to_string(LargeBytes));
        check(answer.head.header("Zb-Executed") == "yes");
    });
    section("an answer in chunks", [&] {
        const auto answer = caller.fetch(get(largeTarget(LargeBytes, "&framing=chunked")));
        check(isWhole(answer, LargeBytes));
        check(answer.head.header("Transfer-Encoding") == "chunked");
    });
    section("answers around the size from which they are streamed", [&] {
        for (const auto bytes :
             {MaxBufferedAnswerBytes - 1, MaxBufferedAnswerBytes, MaxBufferedAnswerBytes + 1}) {
            const auto answer = caller.fetch(get(largeTarget(bytes)));
            check(isWhole(answer, bytes));
        }
    });
    section("ranges and encodings are left to the upstream", [&] {
        auto request = get(largeTarget(MiB));
        request.headers["Range"] = "bytes=10-19";
        request.headers["Accept-Encoding"] = "gzip";
        const auto answer = caller.fetch(request);
        check(answer.head.status == 206);
        check(answer.head.header("Content-Range") == "bytes 10-19/1048576");
        check(answer.head.header("Content-Encoding").empty());
        check(answer.head.body == patternBytes(10, 10));
    });
    section("a keyed purchase runs once, and its repeat is reported as already executed", [&] {
        const auto request = purchase(largeTarget(LargeBytes), "once");
        check(isWhole(caller.fetch(request), LargeBytes));
        check(caller.fetch(request).failure == "already_executed");
        check(countExecutions(system)["once"] == 1);
    });
    section("nothing of an answer above the limit is passed on", [&] {
        const auto answer = caller.fetch(get(largeTarget(LargeBytes + 1)));
        check(answer.failure == "answer_too_large");
        check(answer.head.header("Zb-Executed") == "yes");
    });
}

// A caller whose large answer is cut midway gets an error, never a short success. The upstream
// closes its connection after half of the body. Agent and entry have passed on bytes by then, so a
// retry is impossible; each closes its own connection without the rest. The caller detects this
// because neither the declared length nor the last chunk arrives.
Test(process_stream, answer_cut_midway)
{
    fleet system(oneEntryOneWorkerFleet());
    startAndWait(system);
    large_caller caller(system);
    const auto cutNext = [&] {
        Json::Value fault(Json::objectValue);
        fault["cut"] = 1;
        system.setFault(system.upstreamAddress(0), fault);
    };
    unsigned cuts = 0;
    for (const auto *framing : {"", "&framing=chunked"}) {
        section(std::string("cut") + framing, [&] {
            cutNext();
            const auto answer = caller.fetch(get(largeTarget(LargeBytes, framing)));
            check(answer.failure == "answer_cut");
            check(answer.matchesPattern);
            check(answer.bytes <= LargeBytes / 2);
            ++cuts;
            check(waitUntil(
                    [&] {
                        return counterAt(system,
                                         R"(zinniabarrow_flow_stream_cut_total{reason="all"})")
                               == cuts;
                    },
                    WaitLimit));
        });
    }
    section("a keyed purchase whose answer was cut never runs again", [&] {
        cutNext();
        const auto request = purchase(largeTarget(LargeBytes), "cut");
        check(caller.fetch(request).failure == "answer_cut");
        std::string repeated;
        check(waitUntil(
                [&] {
                    repeated = caller.fetch(request).failure;
                    return repeated != "key_in_progress";
                },
                WaitLimit));
        check(repeated == "outcome_unknown");
        check(countExecutions(system)["cut"] == 1);
    });
    section("the next answer is whole",
            [&] { check(isWhole(caller.fetch(get(largeTarget(LargeBytes))), LargeBytes)); });
}

// A caller gets its own answer although the upstream sends more bytes than it declares. The surplus
// would still be in the connection when the agent uses it for the next request, and would be taken
// for the answer to that request. So a connection with unread bytes is closed instead of reused.
Test(process_stream, more_bytes_than_declared)
{
    fleet system(oneEntryOneWorkerFleet());
    startAndWait(system);
    large_caller caller(system);
    load_result result;
    load_generator callers(system, {}, result);
    for (unsigned turn = 0; turn < 10; ++turn) {
        section("turn " + std::to_string(turn), [&] {
            check(isWhole(caller.fetch(get(largeTarget(MiB, "&extra=100"))), MiB));
            check(callers.sendRequest(0, get("/tickets/seats"), "after-" + std::to_string(turn))
                          .empty());
        });
    }
    section("every guarantee was kept", [&] { checkGuaranteesKept(system, result); });
}

// Eight callers read answers of 32 MiB at once. For each, entry and agent buffer at most the ring
// and one part at each of its ends; buffered whole, these answers would take 256 MiB in each
// process.
Test(process_stream, bounded_memory)
{
    constexpr unsigned Callers = 8;
    constexpr std::size_t BufferedBytes = StreamRingBytes + 2 * StreamPartBytes; // for one answer
    constexpr std::size_t OverheadBytes = 8 * MiB; // threads and the arenas of their allocator
    fleet system(oneEntryOneWorkerFleet());
    startAndWait(system);
    std::vector<std::unique_ptr<large_caller>> callers;
    for (unsigned index = 0; index < Callers; ++index)
        callers.push_back(std::make_unique<large_caller>(system));
    const auto entryBefore = system.entry(0)->peakMemoryBytes();
    const auto agentBefore = system.agent(0)->peakMemoryBytes();
    std::atomic<unsigned> whole{0};
    std::vector<std::thread> threads;
    for (auto &caller : callers) {
        threads.emplace_back([&] {
            if (isWhole(caller->fetch(get(largeTarget(LargeBytes))), LargeBytes))
                ++whole;
        });
    }
    for (auto &thread : threads)
        thread.join();
    const auto entryGrown = system.entry(0)->peakMemoryBytes() - entryBefore;
    const auto agentGrown = system.agent(0)->peakMemoryBytes() - agentBefore;
    fmt::print("grown: entry {} bytes, agent {} bytes\n", entryGrown, agentGrown);
    check(whole == Callers);
    cr_expect(entryGrown <= Callers * BufferedBytes + OverheadBytes, "the entry grew by %zu",
              entryGrown);
    cr_expect(agentGrown <= Callers * BufferedBytes + OverheadBytes, "the agent grew by %zu",
              agentGrown);
}

// A caller that reads slowly slows down only its own answer. More large answers are requested than
// the upstream has slots (requests that it serves at once): the agent keeps a slot occupied
// until the body has ended, so the upstream never has more requests than it declared. A caller
// that stops reading loses its answer at its deadline, and the slot becomes free.
Test(process_stream, slow_readers)
{
    constexpr unsigned Slots = 8;
    constexpr unsigned CallerCount = 12;
    // Well above the time of one answer beside the others, because a request that is not
    // expected to end before its deadline is refused.
    constexpr milliseconds StoppedDeadline{8000};
    fleet system(oneEntryOneWorkerFleet());
    startAndWait(system);
    load_result result;
    load_generator otherCallers(system, {}, result);
    section("other callers are answered while one reader pauses", [&] {
        large_caller caller(system);
        unsigned answered = 0;
        const auto answer =
                caller.fetch(get(largeTarget(LargeBytes)), LongDeadline, [&](std::uint64_t) {
                    if (answered < 20) {
                        answered +=
                                otherCallers.sendRequest(0, get("/tickets/seats"), "beside").empty()
                                        ? 1
                                        : 0;
                    }
                });
        check(isWhole(answer, LargeBytes));
        check(answered == 20);
    });
    section("the upstream never serves more requests than it has slots", [&] {
        std::atomic<unsigned> whole{0};
        std::vector<std::thread> threads;
        for (unsigned index = 0; index < CallerCount; ++index) {
            threads.emplace_back([&] {
                large_caller caller(system);
                const auto answer = caller.fetch(get(largeTarget(LargeBytes)));
                if (isWhole(answer, LargeBytes))
                    ++whole;
            });
        }
        for (auto &thread : threads)
            thread.join();
        check(whole == CallerCount);
        check(system.getJson(system.upstreamAddress(0), "/executions")["overruns"].asUInt() == 0);
    });
    section("readers that stop lose their answers at the deadline, and the slots are freed", [&] {
        std::atomic<unsigned> cut{0};
        std::atomic<bool> isReleased{false};
        std::vector<std::thread> threads;
        for (unsigned index = 0; index < Slots; ++index) {
            threads.emplace_back([&] {
                large_caller caller(system);
                const auto answer = caller.fetch(
                        get(largeTarget(LargeBytes)), StoppedDeadline, [&](std::uint64_t) {
                            waitUntil([&] { return isReleased.load(); }, WaitLimit);
                        });
                if (!answer.failure.empty())
                    ++cut;
            });
        }
        const auto atOnce = [&] {
            return system.getJson(system.upstreamAddress(0), "/executions")["at_once"].asUInt();
        };
        check(waitUntil([&] { return atOnce() == Slots; }, WaitLimit));
        check(waitUntil([&] { return atOnce() == 0; }, WaitLimit));
        check(otherCallers.sendRequest(0, get("/tickets/seats"), "again").empty());
        isReleased = true;
        for (auto &thread : threads)
            thread.join();
        check(cut == Slots);
    });
}

// A caller in the middle of a large answer gets it whole when the agent, and then the entry, that
// carries it is stopped as planned. httplib ends every body in progress once its server stops, so
// the processes wait for the last byte before they stop it, and then exit with 0.
Test(process_stream, planned_stops)
{
    const auto stopDuring = [](const std::string &what, auto &&processOf) {
        section(what, [&] {
            fleet system(oneEntryOneWorkerFleet());
            startAndWait(system);
            large_caller caller(system);
            auto &process = processOf(system);
            bool stopped = false;
            const auto answer =
                    caller.fetch(get(largeTarget(LargeBytes)), LongDeadline, [&](std::uint64_t) {
                        if (std::exchange(stopped, true))
                            return;
                        process->signal(SIGTERM);
                        std::this_thread::sleep_for(milliseconds(3000)); // time to exit too early
                        check(process->isRunning());
                    });
            check(isWhole(answer, LargeBytes));
            check(process->waitForExit(WaitLimit) == 0);
        });
    };
    stopDuring(
            "the agent", [](fleet & system) -> auto & { return system.agent(0); });
    stopDuring(
            "the entry", [](fleet & system) -> auto & { return system.entry(0); });
}

// The entry has received a large answer whole, and its caller has read only a part of it, when the
// entry is stopped as planned. For the entry's actor the request has ended, so only http_server's
// count of requests in flight keeps the process running until the last byte is sent.
Test(process_stream, planned_stop_with_the_rest_in_the_ring)
{
    constexpr std::uint64_t StepBytes = 128 * 1024; // half of a ring: some answer ends within it
    constexpr unsigned MaxCallers = 32;
    fleet system(oneEntryOneWorkerFleet());
    startAndWait(system);
    std::vector<std::unique_ptr<paused_caller>> callers;
    const auto isReceived = [&] {
        return system.rpc(0, "status", Json::objectValue)["in_flight"].asUInt() == 0;
    };
    bool isFullyBuffered = true; // the entry has received the newest answer whole
    for (unsigned index = 1; isFullyBuffered && index <= MaxCallers; ++index) {
        callers.push_back(std::make_unique<paused_caller>(system, index * StepBytes));
        check(waitUntil([&] { return callers.back()->hasBegun(); }, WaitLimit));
        isFullyBuffered = waitUntil(isReceived, milliseconds(500));
    }
    section("an answer larger than all buffers on the path is read to its end", [&] {
        require(!isFullyBuffered);
        check(callers.back()->finish());
        callers.pop_back();
        check(waitUntil(isReceived, WaitLimit));
    });
    section("the entry is stopped while the rest of the other answers is in its ring", [&] {
        system.entry(0)->signal(SIGTERM);
        std::this_thread::sleep_for(milliseconds(2000)); // time to exit too early
        check(system.entry(0)->isRunning());
        for (auto &caller : callers)
            check(caller->finish());
        check(system.entry(0)->waitForExit(WaitLimit) == 0);
    });
}
