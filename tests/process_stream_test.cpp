// Large answers on real processes: whole or seen to be cut, within a stated bound on memory.
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
constexpr milliseconds LongDeadline{50'000}; // below the longest that an entry allows

fleet_options singlePathFleet()
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
    std::string failure; // empty: the answer came whole
    http_response head;
    std::uint64_t bytes = 0;
    bool equal = true; // to the pattern, as far as it came
};

// A caller that reads large answers part by part and compares them on the way.
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
        const auto until = monotonic_clock::now() + deadline + seconds(5);
        const auto result = m_pool.callStreaming(std::move(request), until, {}, m_threads);
        received_answer answer;
        if (!std::holds_alternative<http_response>(result)) {
            answer.failure = "no answer";
            return answer;
        }
        answer.head = std::get<http_response>(result);
        if (!answer.head.stream) {
            answer.bytes = answer.head.body.size();
            answer.equal = answer.head.body == patternBytes(0, answer.bytes);
            answer.failure = answer.head.header("Zb-Error");
            return answer;
        }
        for (auto part = answer.head.stream->takePart(); !part.empty();
             part = answer.head.stream->takePart()) {
            answer.equal = answer.equal && part == patternBytes(answer.bytes, part.size());
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

// A caller that takes the first part of a large answer and waits for finish().
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
    // Reads the rest; true when the answer was whole.
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
        m_isWhole = answer.failure.empty() && answer.bytes == bytes && answer.equal;
    }

    large_caller m_caller;
    std::atomic<bool> m_hasBegun{false};
    std::atomic<bool> m_isReleased{false};
    std::atomic<bool> m_isWhole{false};
    std::thread m_thread; // last: it uses all of the above
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
           && answer.equal;
}

// The value of a counter at the entry; 0 while it has not been counted.
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

// A caller gets an answer of 32 MiB whole and equal, with the length that the upstream declared or
// in chunks when it declared none. A keyed purchase with such an answer ran once; its repeat learns
// that, since the answer is too large to be kept. One above the setting is refused, not cut short.
Test(process_stream, whole)
{
    auto options = singlePathFleet();
    options.entrySettings["max_answer_bytes"] = Json::UInt64(LargeBytes);
    fleet system(options);
    startAndWait(system);
    large_caller caller(system);
    section("with a declared length", [&] {
        const auto answer = caller.fetch(get(largeTarget(LargeBytes)));
        check(isWhole(answer, LargeBytes));
        check(answer.head.header("Content-Length") == std::to_string(LargeBytes));
        check(answer.head.header("Zb-Executed") == "yes");
    });
    section("in chunks", [&] {
        const auto answer = caller.fetch(get(largeTarget(LargeBytes, "&framing=chunked")));
        check(isWhole(answer, LargeBytes));
        check(answer.head.header("Transfer-Encoding") == "chunked");
    });
    section("around the size from which answers are streamed", [&] {
        for (const auto bytes :
             {MaxBufferedAnswerBytes - 1, MaxBufferedAnswerBytes, MaxBufferedAnswerBytes + 1}) {
            const auto answer = caller.fetch(get(largeTarget(bytes)));
            check(isWhole(answer, bytes));
        }
    });
    section("a range and an encoding are the upstream's to heed", [&] {
        auto request = get(largeTarget(MiB));
        request.headers["Range"] = "bytes=10-19";
        request.headers["Accept-Encoding"] = "gzip";
        const auto answer = caller.fetch(request);
        check(answer.head.status == 206);
        check(answer.head.header("Content-Range") == "bytes 10-19/1048576");
        check(answer.head.header("Content-Encoding").empty());
        check(answer.head.body == patternBytes(10, 10));
    });
    section("a keyed purchase runs once, and its repeat is told so", [&] {
        const auto request = purchase(largeTarget(LargeBytes), "once");
        check(isWhole(caller.fetch(request), LargeBytes));
        check(caller.fetch(request).failure == "already_executed");
        check(countExecutions(system)["once"] == 1);
    });
    section("above the bound nothing is passed on", [&] {
        const auto answer = caller.fetch(get(largeTarget(LargeBytes + 1)));
        check(answer.failure == "answer_too_large");
        check(answer.head.header("Zb-Executed") == "yes");
    });
}

// A caller whose large answer is cut midway sees an error, never a short success.
// The upstream ends its connection after half of the body; agent and entry have passed on bytes by
// then, so that no retry is possible; each cuts its own connection without the rest.
// That suffices because neither the declared length nor the last chunk ever comes.
Test(process_stream, cut_midway)
{
    fleet system(singlePathFleet());
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
            check(answer.equal);
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
    section("a keyed purchase that was cut never runs again", [&] {
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

// A caller gets its own answer although the upstream sends more than it declares.
// The surplus lies in the connection when the agent uses it for the next request, whose answer it
// would seem to be. A connection with bytes before its request is dropped.
Test(process_stream, false_length)
{
    fleet system(singlePathFleet());
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
    section("every promise was kept", [&] { checkPromisesKept(system, result); });
}

// Eight callers read answers of 32 MiB at once. Entry and agent hold at most the ring and one part
// of each; held whole, these answers would be 256 MiB in each process.
Test(process_stream, bounded_memory)
{
    constexpr unsigned Callers = 8;
    constexpr std::size_t BufferedBytes = StreamRingBytes + 2 * StreamPartBytes; // of one answer
    constexpr std::size_t Slack = 8 * MiB; // threads, their allocator's arenas
    fleet system(singlePathFleet());
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
    cr_expect(entryGrown <= Callers * BufferedBytes + Slack, "the entry grew by %zu", entryGrown);
    cr_expect(agentGrown <= Callers * BufferedBytes + Slack, "the agent grew by %zu", agentGrown);
}

// A caller that reads slowly slows its own answer and no other caller's.
// More large answers are asked for than the upstream has slots: the agent holds a slot until its
// body has ended, so that the upstream never has more than it declared. A caller that stops reading
// loses its answer at its deadline, and the slot is free again.
Test(process_stream, slow_readers)
{
    constexpr unsigned Slots = 8;
    constexpr unsigned CallerCount = 12;
    // Well beyond what one answer takes beside the others: callers with less are refused.
    constexpr milliseconds StoppedDeadline{8000};
    fleet system(singlePathFleet());
    startAndWait(system);
    load_result result;
    load_generator others(system, {}, result);
    section("others are answered while one reader pauses", [&] {
        large_caller caller(system);
        unsigned answered = 0;
        const auto answer =
                caller.fetch(get(largeTarget(LargeBytes)), LongDeadline, [&](std::uint64_t) {
                    if (answered < 20)
                        answered += others.sendRequest(0, get("/tickets/seats"), "beside").empty()
                                            ? 1
                                            : 0;
                });
        check(isWhole(answer, LargeBytes));
        check(answered == 20);
    });
    section("never more than the upstream's slots", [&] {
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
    section("readers that stop lose their answers at the deadline, not the slots", [&] {
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
        check(others.sendRequest(0, get("/tickets/seats"), "again").empty());
        isReleased = true;
        for (auto &thread : threads)
            thread.join();
        check(cut == Slots);
    });
}

// A caller that is in the middle of a large answer gets it whole when the agent, and then the
// entry, on its way is stopped as planned. httplib ends every body that is being sent once its
// server stops: the processes wait for the last byte before they stop it, and then exit with 0.
Test(process_stream, planned_stops)
{
    const auto stopDuring = [](const std::string &what, auto &&processOf) {
        section(what, [&] {
            fleet system(singlePathFleet());
            startAndWait(system);
            large_caller caller(system);
            auto &process = processOf(system);
            bool stopped = false;
            const auto answer =
                    caller.fetch(get(largeTarget(LargeBytes)), LongDeadline, [&](std::uint64_t) {
                        if (std::exchange(stopped, true))
                            return;
                        process->signal(SIGTERM);
                        std::this_thread::sleep_for(milliseconds(3000)); // room to stop too early
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

// The entry has received a large answer whole, and its caller has taken only a part of it, when the
// entry is stopped as planned. Nothing decides about the request any more, so only the connection's
// own count of requests in flight keeps the process until the last byte has gone.
Test(process_stream, planned_stop_with_the_rest_in_the_ring)
{
    constexpr std::uint64_t Step = 128 * 1024; // half of a ring: some answer ends within it
    constexpr unsigned Most = 32;
    fleet system(singlePathFleet());
    startAndWait(system);
    std::vector<std::unique_ptr<paused_caller>> callers;
    const auto isReceived = [&] {
        return system.rpc(0, "status", Json::objectValue)["in_flight"].asUInt() == 0;
    };
    bool isFullyBuffered = true; // by the buffers on the way and the entry's ring, whole
    for (unsigned index = 1; isFullyBuffered && index <= Most; ++index) {
        callers.push_back(std::make_unique<paused_caller>(system, index * Step));
        check(waitUntil([&] { return callers.back()->hasBegun(); }, WaitLimit));
        isFullyBuffered = waitUntil(isReceived, milliseconds(500));
    }
    section("an answer larger than all that lies on the way is read to its end", [&] {
        require(!isFullyBuffered);
        check(callers.back()->finish());
        callers.pop_back();
        check(waitUntil(isReceived, WaitLimit));
    });
    section("the entry is stopped while the others' rest is in its ring", [&] {
        system.entry(0)->signal(SIGTERM);
        std::this_thread::sleep_for(milliseconds(2000)); // room to stop too early
        check(system.entry(0)->isRunning());
        for (auto &caller : callers)
            check(caller->finish());
        check(system.entry(0)->waitForExit(WaitLimit) == 0);
    });
}
