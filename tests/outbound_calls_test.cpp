// Calls to other processes while some of these do not answer. Waits are on conditions, bounds on
// counts.
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

constexpr milliseconds Timeout{500};      // of a call
constexpr milliseconds WaitLimit{60'000}; // a bound on waits for conditions, not a measurement
constexpr unsigned Processes = 8;         // that are silent, and as many that answer
constexpr unsigned CallsToEach = 8;       // of the silent ones

template <typename Condition>
bool waitFor(Condition isTrue)
{
    const auto giveUpAt = monotonic_clock::now() + WaitLimit;
    while (!isTrue() && monotonic_clock::now() < giveUpAt)
        std::this_thread::sleep_for(milliseconds(5));
    return isTrue();
}

// One port under several addresses, as so many processes.
std::string addressOf(unsigned index, int port)
{
    return "127.0.0." + std::to_string(index + 1) + ":" + std::to_string(port);
}

// Takes connections in and never answers.
class silent_server
{
public:
    silent_server()
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in any{};
        any.sin_family = AF_INET;
        auto *name = reinterpret_cast<sockaddr *>(&any);
        socklen_t size = sizeof any;
        const bool listens = ::bind(m_socket, name, size) == 0 && ::listen(m_socket, 1024) == 0
                             && ::getsockname(m_socket, name, &size) == 0;
        require(listens);
        m_port = ntohs(any.sin_port);
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

// An agent calls entries that do not answer, each call in vain for as long as the timeout is. Were
// its calls to the shard's owner to wait behind these, its report would come after its short lease:
// its tasks would stop although the owner answers at once.
Test(lanes, silent_targets_hold_no_other_back)
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
    for (unsigned call = 0; call < CallsToEach; ++call) {
        for (unsigned index = 0; index < Processes; ++index)
            sender.call(addressOf(index, silent.port()), "report", Json::objectValue, count);
    }
    section("those that answer are heard while most calls to the silent ones wait", [&] {
        for (unsigned index = 0; index < Processes; ++index)
            sender.call(addressOf(index, answering.address().port), "report", Json::objectValue,
                        count);
        check(waitFor([&] { return answered == Processes; }));
        check(failedCalls < Processes * CallsToEach / 2);
    });
    section("every call comes back", [&] {
        check(waitFor([&] { return answered + failedCalls == Processes * (CallsToEach + 1); }));
        check(answered == Processes);
    });
}

// A duty asks a process whose address it does not know yet, and has to hear that nothing came.
Test(lanes, a_call_without_an_address_fails)
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

// Duties call from threads of their own while the sender's threads go to rest and wake. A wake that
// is lost would leave a call lying until another one comes, and its caller without an answer.
Test(lanes, every_call_comes_back)
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
                sender.call(addressOf((caller + call) % Processes, answering.address().port),
                            "report", Json::objectValue, [&](const auto &) { ++completedCalls; });
                if (call % Callers == caller) // so that some calls find all threads at rest
                    waitFor([&] { return completedCalls > before; });
            }
        });
    }
    for (auto &caller : callers)
        caller.join();
    check(waitFor([&] { return completedCalls == Callers * Calls; }));
}
