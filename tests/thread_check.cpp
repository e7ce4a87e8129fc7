// What the duties share, under the thread sanitizer: a program of its own, because neither the test
// library nor the actor library runs under it. Prints the closing line that CI reads; the sanitizer
// turns a data race into exit code 66.
#include <atomic>
#include <thread>
#include <vector>

#include <fmt/core.h>

#include "base/bounded_ring.h"
#include "runtime/metrics.h"

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
void ringKeepsWhatItTook()
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
void metricsCountFromAllThreads()
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

} // namespace

int main()
{
    ringKeepsWhatItTook();
    metricsCountFromAllThreads();
    fmt::print("{} passed, {} failed\n", passed, failed);
    return failed == 0 ? 0 : 1;
}
