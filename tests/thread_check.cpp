// What the duties share, under the thread sanitizer: a program of its own, because neither the test
// library nor the actor library runs under it. Prints the closing line that CI reads; the sanitizer
// turns a data race into exit code 66.
#include <atomic>
#include <thread>
#include <vector>

#include <fmt/core.h>

#include "base/bounded_ring.h"
#include "runtime/body_stream.h"
#include "runtime/metrics.h"
#include "runtime/receiver_threads.h"

using namespace zinniabarrow;

namespace {

constexpr int Writers = 4;
constexpr int ItemsEach = 20'000;
constexpr std::size_t Capacity = 64;

int passed = 0;
int failed = 0;

void check(bool holds, const char *what)
{
    ++(holds ? passed : failed);
    if (!holds)
        fmt::print("FAILED: {}\n", what);
}

struct item
{
    int writer = 0;
    int number = 0;
};

// Writers that find the ring full count a refusal and go on; the one reader gets what was taken.
void checkRingLosesNothing()
{
    bounded_ring<item> ring(Capacity);
    std::atomic<int> taken{0};
    std::atomic<int> refused{0};
    std::atomic<int> writing{Writers};
    std::vector<std::thread> writers;
    for (int writer = 0; writer < Writers; ++writer) {
        writers.emplace_back([&, writer] {
            for (int number = 0; number < ItemsEach; ++number)
                ++(ring.push({writer, number}) ? taken : refused);
            --writing;
        });
    }
    int read = 0;
    bool inOrder = true;
    std::vector<int> last(Writers, -1);
    while (true) {
        const bool isOver = writing == 0;
        const auto next = ring.pop();
        if (!next && isOver)
            break;
        if (!next)
            continue;
        ++read;
        inOrder = inOrder && next->number > last[static_cast<std::size_t>(next->writer)];
        last[static_cast<std::size_t>(next->writer)] = next->number;
    }
    for (auto &writer : writers)
        writer.join();
    check(read == taken, "everything that the ring took is read once");
    check(taken + refused == Writers * ItemsEach, "everything else is a counted refusal");
    check(inOrder, "each writer's items keep their order");
}

// HTTP threads count while another one reads the text.
void checkMetricsFromManyThreads()
{
    metrics counters;
    std::vector<std::thread> counting;
    for (int writer = 0; writer < Writers; ++writer) {
        counting.emplace_back([&, writer] {
            for (int number = 0; number < 1000; ++number) {
                counters.count("refusals_total", number % 2 == 0 ? "queue_full" : "draining");
                counters.set("gauge", writer);
                counters.observeMilliseconds("latency_ms", number);
            }
        });
    }
    std::size_t bytes = 0;
    for (int round = 0; round < 50; ++round)
        bytes += counters.text().size();
    for (auto &each : counting)
        each.join();
    check(bytes > 0, "the text is read meanwhile");
    check(counters.value("refusals_total", "queue_full") == Writers * 500, "no count is lost");
}

// Sends one body through a ring; every third reader lets go midway. True when the bytes are right.
bool streamOne(receiver_threads &threads, int number, std::atomic<int> &ends)
{
    constexpr std::size_t Chunk = 4096;
    constexpr std::size_t Chunks = 300;
    const bool abandons = number % 3 == 0;
    const auto ring = std::make_shared<body_ring>(monotonic_clock::now() + seconds(60));
    threads.run([ring] {
        body_end end;
        const std::string chunk(Chunk, 'x');
        if (ring->attachReceiver([] {})) {
            for (std::size_t index = 0; index < Chunks && !end; ++index)
                end = ring->push(chunk.data(), chunk.size());
        }
        ring->detachReceiver();
        ring->finish(end);
    });
    body_reader reader(ring);
    ring->waitForEndOrBytes(Chunk);
    reader.observeEnd([&](body_end, duration) { ++ends; });
    std::size_t bytes = 0;
    for (auto part = reader.takePart(); !part.empty(); part = reader.takePart()) {
        bytes += part.size();
        if (abandons && bytes > Chunk)
            return true;
    }
    return bytes == Chunk * Chunks && !reader.end();
}

// A receiving and a sending thread for each body, and threads that are used again.
void checkBodiesAreWhole()
{
    constexpr int Bodies = 150;
    std::atomic<int> whole{0};
    std::atomic<int> ends{0};
    {
        receiver_threads threads;
        std::vector<std::thread> readers;
        for (int reader = 0; reader < Writers; ++reader) {
            readers.emplace_back([&] {
                for (int number = 0; number < Bodies; ++number)
                    whole += streamOne(threads, number, ends) ? 1 : 0;
            });
        }
        for (auto &reader : readers)
            reader.join();
    }
    check(whole == Writers * Bodies, "every body that is read to its end is whole");
    check(ends == Writers * Bodies, "every end is told once");
}

} // namespace

int main()
{
    checkRingLosesNothing();
    checkMetricsFromManyThreads();
    checkBodiesAreWhole();
    fmt::print("{} passed, {} failed\n", passed, failed);
    return failed == 0 ? 0 : 1;
}
