// Tests of rpc_sender while some of the called processes do not answer. The tests wait for
// conditions and compare counts, not times.
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "app/outbound_calls.h"
#include "rpc/rpc.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

constexpr milliseconds Timeout{500};      // of one call
constexpr milliseconds WaitLimit{60'000}; // upper bound for waits on conditions; not a measurement
constexpr unsigned Targets = 8;           // number of silent targets, and of answering ones
constexpr unsigned CallsPerSilentTarget = 8;

template <typename Condition>
bool waitFor(Condition condition)
{
    const auto deadline = monotonic_clock::now() + WaitLimit;
    while (!condition() && monotonic_clock::now() < deadline)
        std::this_thread::sleep_for(milliseconds(5));
    return condition();
}

// Addresses that share one port stand for several processes.
std::string addressOf(unsigned index, int port)
{
    return "127.0.0." + std::to_string(index + 1) + ":" + std::to_string(port);
}

// Accepts connections and never answers.
class silent_server
{
public:
    silent_server()
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in localAddress{};
        localAddress.sin_family = AF_INET;
        auto *name = reinterpret_cast<sockaddr *>(&localAddress);
        socklen_t size = sizeof localAddress;
        const bool listens = ::bind(m_socket, name, size) == 0 && ::listen(m_socket, 1024) == 0
                             && ::getsockname(m_socket, name, &size) == 0;
        require(listens);
        m_port = ntohs(localAddress.sin_port);
    }
    ~silent_server() { ::close(m_socket); }
    silent_server(const silent_server &) = delete;
    silent_server &operator=(const silent_server &) = delete;

    int port() const { return m_port; }

private:
    int m_socket;
    int m_port = 0;
};

} // namespace

// An agent calls entries that do not answer, and each of these calls fails only after the timeout.
// If its calls to the shard's owner had to wait behind them, its report would arrive after its
// lease has expired, and its tasks would stop although the owner answers immediately.
Test(outbound_calls, silent_targets_do_not_delay_others)
{
    rpc_server methods;
    methods.bind("report", [](const Json::Value &parameters) { return parameters; });
    http_server answering({"0.0.0.0", 0}, {}, [&](const http_request &request) {
        return http_response{200, {}, methods.handle(request.body)};
    });
    answering.start();
    const silent_server silent;
    actor_runtime system;
    metrics counters;
    std::atomic<unsigned> answered{0};
    std::atomic<unsigned> failedCalls{0};
    rpc_sender sender(system, Timeout, counters);
    const auto count = [&](const std::optional<Json::Value> &result) {
        ++(result ? answered : failedCalls);
    };
    for (unsigned call = 0; call < CallsPerSilentTarget; ++call) {
        for (unsigned index = 0; index < Targets; ++index)
            sender.call(addressOf(index, silent.port()), "report", Json::objectValue, count);
    }
    section("calls to answering targets complete while most calls to silent ones wait", [&] {
        for (unsigned index = 0; index < Targets; ++index)
            sender.call(addressOf(index, answering.address().port), "report", Json::objectValue,
                        count);
        check(waitFor([&] { return answered == Targets; }));
        check(failedCalls < Targets * CallsPerSilentTarget / 2);
    });
    section("every call completes", [&] {
        check(waitFor(
                [&] { return answered + failedCalls == Targets * (CallsPerSilentTarget + 1); }));
        check(answered == Targets);
    });
}

// An actor calls a process whose address it does not know yet, and must be told that the call
// failed.
Test(outbound_calls, a_call_without_an_address_fails)
{
    actor_runtime system;
    metrics counters;
    std::atomic<unsigned> failedCalls{0};
    rpc_sender sender(system, Timeout, counters);
    const auto count = [&](const std::optional<Json::Value> &result) {
        failedCalls += result ? 0 : 1;
    };
    sender.call("", "generation_content", Json::objectValue, count);
    sender.call("", "generation_content", Json::objectValue, count);
    check(waitFor([&] { return failedCalls == 2; }));
}

// Several threads make calls while the sender's threads become idle and are woken. If a wake-up
// were lost, a call would stay queued until the next call, and its callback would not be called.
Test(outbound_calls, every_call_completes)
{
    constexpr unsigned Callers = 4;
    constexpr unsigned Calls = 400;
    rpc_server methods;
    methods.bind("report", [](const Json::Value &parameters) { return parameters; });
    http_server answering({"0.0.0.0", 0}, {}, [&](const http_request &request) {
        return http_response{200, {}, methods.handle(request.body)};
    });
    answering.start();
    actor_runtime system;
    metrics counters;
    std::atomic<unsigned> completedCalls{0};
    rpc_sender sender(system, WaitLimit, counters);
    std::vector<std::thread> callers;
    for (unsigned caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            for (unsigned call = 0; call < Calls; ++call) {
                const auto before = completedCalls.load();
                sender.call(addressOf((caller + call) % Targets, answering.address().port),
                            "report", Json::objectValue, [&](const auto &) { ++completedCalls; });
                if (call % Callers == caller) // some calls then find all threads idle
                    waitFor([&] { return completedCalls > before; });
            }
        });
    }
    for (auto &caller : callers)
        caller.join();
    check(waitFor([&] { return completedCalls == Callers * Calls; }));
}
