// Runs the data structures that actors and HTTP threads share under the thread sanitizer. This is a
// separate program, because neither Criterion nor CAF runs under that sanitizer. CI reads the last
// line of the output; the sanitizer turns a data race into exit code 66.
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
constexpr int ItemsPerWriter = 20'000;
constexpr std::size_t Capacity = 64;

int passed = 0;
int failed = 0;

void check(bool condition, const char *description)
{
    ++(condition ? passed : failed);
    if (!condition)
        fmt::print("FAILED: {}\n", description);
}

struct item
{
    int writer = 0;
    int sequence = 0;
};

// Several threads push items; a push into a full ring is refused and counted. The reader must get
// every item that was pushed, in each writer's order.
void checkRingLosesNothing()
{
    bounded_ring<item> ring(Capacity);
    std::atomic<int> pushed{0};
    std::atomic<int> refused{0};
    std::atomic<int> writing{Writers};
    std::vector<std::thread> writers;
    for (int writer = 0; writer < Writers; ++writer) {
        writers.emplace_back([&, writer] {
            for (int sequence = 0; sequence < ItemsPerWriter; ++sequence)
                ++(ring.push({writer, sequence}) ? pushed : refused);
            --writing;
        });
    }
    int popped = 0;
    bool inOrder = true;
    std::vector<int> last(Writers, -1);
    while (true) {
        const bool hasEnded = writing == 0;
        const auto next = ring.pop();
        if (!next && hasEnded)
            break;
        if (!next)
            continue;
        ++popped;
        inOrder = inOrder && next->sequence > last[static_cast<std::size_t>(next->writer)];
        last[static_cast<std::size_t>(next->writer)] = next->sequence;
    }
    for (auto &writer : writers)
        writer.join();
    check(popped == pushed, "every pushed item is read once");
    check(pushed + refused == Writers * ItemsPerWriter,
          "every item is pushed or counted as refused");
    check(inOrder, "the items of each writer keep their order");
}

// Several threads count while another thread reads the text.
void checkMetricsFromManyThreads()
{
    metrics sharedMetrics;
    std::vector<std::thread> countingThreads;
    for (int writer = 0; writer < Writers; ++writer) {
        countingThreads.emplace_back([&, writer] {
            for (int sequence = 0; sequence < 1000; ++sequence) {
                sharedMetrics.count("refusals_total",
                                    sequence % 2 == 0 ? "queue_full" : "draining");
                sharedMetrics.setGauge("gauge", writer);
                sharedMetrics.observeMilliseconds("latency_ms", sequence);
            }
        });
    }
    std::size_t bytes = 0;
    for (int round = 0; round < 50; ++round)
        bytes += sharedMetrics.text().size();
    for (auto &countingThread : countingThreads)
        countingThread.join();
    check(bytes > 0, "the text is read while threads count");
    check(sharedMetrics.value("refusals_total", "queue_full") == Writers * 500, "no count is lost");
}

// Sends one body through a ring; every third reader stops midway. Returns true if the reader got as
// many bytes as expected.
bool streamBody(receiver_threads &threads, int sequence, std::atomic<int> &reportedEnds)
{
    constexpr std::size_t Chunk = 4096;
    constexpr std::size_t Chunks = 300;
    const bool stopsEarly = sequence % 3 == 0;
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
    reader.observeEnd([&](body_end, duration) { ++reportedEnds; });
    std::size_t bytes = 0;
    for (auto part = reader.takePart(); !part.empty(); part = reader.takePart()) {
        bytes += part.size();
        if (stopsEarly && bytes > Chunk)
            return true;
    }
    return bytes == Chunk * Chunks && !reader.end();
}

// Each body has a receiving and a reading thread; the threads are reused.
void checkBodiesAreWhole()
{
    constexpr int Bodies = 150;
    std::atomic<int> completeBodies{0};
    std::atomic<int> reportedEnds{0};
    {
        receiver_threads threads;
        std::vector<std::thread> readers;
        for (int reader = 0; reader < Writers; ++reader) {
            readers.emplace_back([&] {
                for (int sequence = 0; sequence < Bodies; ++sequence)
                    completeBodies += streamBody(threads, sequence, reportedEnds) ? 1 : 0;
            });
        }
        for (auto &reader : readers)
            reader.join();
    }
    check(completeBodies == Writers * Bodies, "every body that is read to its end is complete");
    check(reportedEnds == Writers * Bodies, "every end is reported once");
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
