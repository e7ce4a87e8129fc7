// Tests what each fault of a link does to plain TCP connections, and which callers it concerns.
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <mutex>
#include <optional>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <criterion/criterion.h>

#include "section.h"
#include "soak/links.h"
#include "standins/fleet.h"

using namespace zinniabarrow;
using namespace zinniabarrow::soak;
using standins::waitUntil;
using zinniabarrow::tests::section;

namespace {

constexpr milliseconds WaitLimit{20'000}; // upper bound on waits for what must come
constexpr milliseconds SilenceCheck{150}; // for what must not come
constexpr milliseconds Delay{60};
constexpr std::size_t ChunkBytes = 4096;

socket_address anyPort()
{
    return {"127.0.0.1", 0};
}

sockaddr_in socketAddressOf(const socket_address &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.address.c_str(), &out.sin_addr);
    return out;
}

// Answers each chunk that it receives with the same bytes.
class echo_target
{
public:
    echo_target()
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        auto address = socketAddressOf(anyPort());
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        socklen_t size = sizeof address;
        require(bind(m_listener, generic, size) == 0);
        require(listen(m_listener, 16) == 0);
        require(getsockname(m_listener, generic, &size) == 0);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { run(); });
    }
    ~echo_target()
    {
        m_isStopping = true;
        m_thread.join();
        close(m_listener);
        for (const int connection : m_connections)
            close(connection);
    }
    echo_target(const echo_target &) = delete;
    echo_target &operator=(const echo_target &) = delete;

    socket_address address() const { return {"127.0.0.1", m_port}; }
    bool hasReceived(const std::string &text) const
    {
        const std::lock_guard lock(m_mutex);
        return m_received.find(text) != std::string::npos;
    }
    int resetCount() const { return m_resetCount; }
    int closedCount() const { return m_closedCount; }
    // Sends without a request, on all connections.
    void announce(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        for (const int connection : m_connections)
            send(connection, text.data(), text.size(), MSG_NOSIGNAL);
    }

private:
    void run()
    {
        while (!m_isStopping) {
            std::this_thread::sleep_for(milliseconds(1));
            const std::lock_guard lock(m_mutex);
            const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
            if (accepted >= 0)
                m_connections.insert(accepted);
            std::erase_if(m_connections, [this](int connection) { return !serve(connection); });
        }
    }

    // Returns false if the connection has ended.
    bool serve(int connection)
    {
        std::array<char, ChunkBytes> chunk;
        const auto bytes = recv(connection, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (bytes > 0) {
            m_received.append(chunk.data(), static_cast<std::size_t>(bytes));
            send(connection, chunk.data(), static_cast<std::size_t>(bytes), MSG_NOSIGNAL);
            return true;
        }
        if (bytes < 0 && errno == EAGAIN)
            return true;
        ++(bytes == 0 ? m_closedCount : m_resetCount);
        close(connection);
        return false;
    }

    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_isStopping{false};
    std::atomic<int> m_resetCount{0};
    std::atomic<int> m_closedCount{0};
    mutable std::mutex m_mutex;
    std::set<int> m_connections;
    std::string m_received;
    std::thread m_thread;
};

enum class reception { Data, Nothing, Closed, Reset };

class plain_caller
{
public:
    explicit plain_caller(const std::string &address)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto target = socketAddressOf(parseAddress(address));
        m_isConnected =
                connect(m_socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0;
    }
    ~plain_caller() { close(m_socket); }
    plain_caller(const plain_caller &) = delete;
    plain_caller &operator=(const plain_caller &) = delete;

    bool isConnected() const { return m_isConnected; }
    void request(const std::string &text) const
    {
        send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
    }
    // Waits for the next chunk, which is then in lastText().
    reception receive(milliseconds limit = WaitLimit)
    {
        pollfd descriptor{m_socket, POLLIN, 0};
        if (poll(&descriptor, 1, static_cast<int>(limit.count())) <= 0)
            return reception::Nothing;
        std::array<char, ChunkBytes> chunk;
        const auto bytes = recv(m_socket, chunk.data(), chunk.size(), 0);
        m_lastText.assign(chunk.data(), static_cast<std::size_t>(std::max<ssize_t>(bytes, 0)));
        if (bytes > 0)
            return reception::Data;
        return bytes == 0 ? reception::Closed : reception::Reset;
    }
    const std::string &lastText() const { return m_lastText; }
    bool exchange(const std::string &text)
    {
        request(text);
        return receive() == reception::Data && m_lastText == text;
    }

private:
    int m_socket;
    bool m_isConnected = false;
    std::string m_lastText;
};

// One link, from an entry to the store, and a connection that has carried a request.
struct one_link
{
    echo_target store;
    timeline events;
    soak_links links{{{"entry-0", "store", anyPort(), store.address()}}, events};
    std::string address = links.addressFor("entry-0", "store");
    plain_caller caller{address};

    one_link() { require(caller.exchange("before")); }

    static link_fault faultOf(link_fault_kind kind, milliseconds delay = milliseconds(0))
    {
        return {kind, "entry-0", "store", delay};
    }
    bool canConnectAnew() const
    {
        plain_caller another(address);
        return another.isConnected() && another.exchange("anew");
    }
};

// A process of its own that makes one exchange when it is told where, and ends with 0 if it was
// answered. To be made before any other connection, since it inherits the open ones.
class calling_process
{
public:
    calling_process()
    {
        require(pipe(m_pipe.data()) == 0);
        m_process = fork();
        if (m_process == 0)
            _exit(callWhenTold(m_pipe[0]));
    }
    ~calling_process()
    {
        close(m_pipe[0]);
        close(m_pipe[1]);
        if (!m_hasEnded)
            waitpid(m_process, nullptr, 0);
    }
    calling_process(const calling_process &) = delete;
    calling_process &operator=(const calling_process &) = delete;

    pid_t id() const { return m_process; }
    void call(const socket_address &target) const
    {
        const auto address = socketAddressOf(target);
        require(write(m_pipe[1], &address, sizeof address) == sizeof address);
    }
    bool hasEnded()
    {
        m_hasEnded = m_hasEnded || waitpid(m_process, &m_status, WNOHANG) == m_process;
        return m_hasEnded;
    }
    bool wasAnswered() const { return WIFEXITED(m_status) && WEXITSTATUS(m_status) == 0; }

private:
    // Makes system calls only: the process is a copy of one that may have threads.
    static int callWhenTold(int pipeEnd)
    {
        sockaddr_in target{};
        if (read(pipeEnd, &target, sizeof target) != sizeof target)
            return 1;
        const int handle = socket(AF_INET, SOCK_STREAM, 0);
        if (connect(handle, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0)
            return 1;
        char byte = 'c';
        if (send(handle, &byte, 1, MSG_NOSIGNAL) != 1)
            return 1;
        return recv(handle, &byte, 1, 0) == 1 ? 0 : 1;
    }

    std::array<int, 2> m_pipe{};
    pid_t m_process = -1;
    int m_status = 0;
    bool m_hasEnded = false;
};

} // namespace

// Guards against a soak whose faults of links do something else than they say.
Test(soak_links, faults_that_last)
{
    section("slow: each way takes the delay, and nothing is lost", [] {
        one_link system;
        const auto fault = one_link::faultOf(link_fault_kind::Slow, Delay);
        system.links.apply(fault);
        const auto sentAt = monotonic_clock::now();
        check(system.caller.exchange("slow"));
        check(monotonic_clock::now() - sentAt >= 2 * Delay);
        system.links.end(fault);
        check(system.caller.exchange("after"));
    });
    section("cut: open connections are reset and new ones refused", [] {
        one_link system;
        const auto fault = one_link::faultOf(link_fault_kind::Cut);
        system.links.apply(fault);
        check(system.caller.receive() == reception::Reset);
        check(waitUntil([&] { return system.store.resetCount() == 1; }, WaitLimit));
        check(!plain_caller(system.address).isConnected());
        system.links.end(fault);
        check(system.canConnectAnew());
    });
    section("silent: what is sent arrives once the fault is over", [] {
        one_link system;
        const auto fault = one_link::faultOf(link_fault_kind::Silent);
        system.links.apply(fault);
        system.caller.request("request");
        system.store.announce("news");
        check(system.caller.receive(SilenceCheck) == reception::Nothing);
        check(!system.store.hasReceived("request"));
        system.links.end(fault);
        check(system.caller.receive() == reception::Data);
        check(waitUntil([&] { return system.store.hasReceived("request"); }, WaitLimit));
    });
    section("silent: a new connection stands until the fault is over", [] {
        one_link system;
        const auto fault = one_link::faultOf(link_fault_kind::Silent);
        system.links.apply(fault);
        plain_caller another(system.address);
        check(another.isConnected());
        another.request("late");
        check(another.receive(SilenceCheck) == reception::Nothing);
        system.links.end(fault);
        check(another.receive() == reception::Data);
        check(another.lastText() == "late");
    });
    section("requests silent: answers pass", [] {
        one_link system;
        const auto fault = one_link::faultOf(link_fault_kind::RequestsSilent);
        system.links.apply(fault);
        system.caller.request("request");
        system.store.announce("news");
        check(system.caller.receive() == reception::Data);
        check(system.caller.lastText() == "news");
        check(system.caller.receive(SilenceCheck) == reception::Nothing);
        check(!system.store.hasReceived("request"));
        system.links.end(fault);
        check(system.caller.receive() == reception::Data);
        check(system.caller.lastText() == "request");
    });
    section("answers silent: requests pass, answers come once the fault is over", [] {
        one_link system;
        const auto fault = one_link::faultOf(link_fault_kind::AnswersSilent);
        system.links.apply(fault);
        system.caller.request("request");
        check(waitUntil([&] { return system.store.hasReceived("request"); }, WaitLimit));
        check(system.caller.receive(SilenceCheck) == reception::Nothing);
        system.links.end(fault);
        check(system.caller.receive() == reception::Data);
        check(system.caller.lastText() == "request");
    });
    section("answers dropped: requests pass, their answers never come", [] {
        one_link system;
        const auto fault = one_link::faultOf(link_fault_kind::AnswersDropped);
        system.links.apply(fault);
        system.caller.request("request");
        check(waitUntil([&] { return system.store.hasReceived("request"); }, WaitLimit));
        check(system.caller.receive(SilenceCheck) == reception::Nothing);
        system.links.end(fault);
        check(system.caller.exchange("after"));
    });
}

Test(soak_links, resets)
{
    section("both ends of each open connection learn of it, new ones pass", [] {
        one_link system;
        system.links.apply(one_link::faultOf(link_fault_kind::Reset));
        check(system.caller.receive() == reception::Reset);
        check(waitUntil([&] { return system.store.resetCount() == 1; }, WaitLimit));
        check(system.canConnectAnew());
    });
    section("only the caller learns of it: the target's half stays open", [] {
        one_link system;
        system.links.apply(one_link::faultOf(link_fault_kind::ResetAtCaller));
        check(system.caller.receive() == reception::Reset);
        check(system.canConnectAnew());
        system.store.announce("news");
        std::this_thread::sleep_for(SilenceCheck);
        check(system.store.resetCount() == 0);
        check(system.store.closedCount() <= 1); // the new connection's
    });
    section("only the target learns of it: the caller's half stays open and is never answered", [] {
        one_link system;
        system.links.apply(one_link::faultOf(link_fault_kind::ResetAtTarget));
        check(waitUntil([&] { return system.store.resetCount() == 1; }, WaitLimit));
        system.caller.request("request");
        check(system.caller.receive(SilenceCheck) == reception::Nothing);
        check(!system.store.hasReceived("request"));
        check(system.canConnectAnew());
    });
    section("a reset by the target reaches the caller as one", [] {
        timeline events;
        const int closedPort = parseAddress(one_link().address).port;
        soak_links links({{"entry-0", "store", anyPort(), {"127.0.0.1", closedPort}}}, events);
        plain_caller caller(links.addressFor("entry-0", "store"));
        check(caller.receive() == reception::Reset);
    });
}

// Guards against a fault that ends another one which still lasts.
Test(soak_links, faults_that_overlap)
{
    one_link system;
    const auto silent = one_link::faultOf(link_fault_kind::Silent);
    const auto dropped = one_link::faultOf(link_fault_kind::AnswersDropped);
    section("the last one takes effect", [&] {
        system.links.apply(silent);
        system.links.apply(dropped);
        system.caller.request("first");
        check(waitUntil([&] { return system.store.hasReceived("first"); }, WaitLimit));
    });
    section("at its end the earlier one goes on", [&] {
        system.links.end(dropped);
        system.caller.request("second");
        check(system.caller.receive(SilenceCheck) == reception::Nothing);
        check(!system.store.hasReceived("second"));
    });
    section("the link passes once all have ended", [&] {
        system.links.endAll();
        check(system.caller.receive() == reception::Data);
        check(system.caller.lastText() == "second");
    });
}

// Guards against a partition that cuts off more processes than it should.
Test(soak_links, callers_of_one_address)
{
    calling_process entry1;
    echo_target agent;
    timeline events;
    soak_links links({{AnyCaller, "agent-0", anyPort(), agent.address()}}, events);
    const auto address = links.addressFor("entry-0", "agent-0");
    links.setProcess("entry-0", getpid());
    links.setProcess("entry-1", entry1.id());
    const link_fault silent{link_fault_kind::Silent, "entry-1", "agent-0", {}};
    links.apply(silent);
    plain_caller entry0(address);
    entry1.call(parseAddress(address));
    section("a fault of one caller leaves the others alone", [&] {
        check(entry0.exchange("first"));
        std::this_thread::sleep_for(SilenceCheck);
        check(!entry1.hasEnded());
        check(!agent.hasReceived("c"));
    });
    section("so does a reset", [&] {
        links.apply({link_fault_kind::Reset, "entry-0", "agent-0", {}});
        check(entry0.receive() == reception::Reset);
        check(!entry1.hasEnded());
    });
    section("a cut resets new connections of that caller only", [&] {
        const link_fault cut{link_fault_kind::Cut, "entry-0", "agent-0", {}};
        links.apply(cut);
        plain_caller rejected(address);
        check(rejected.receive() == reception::Reset);
        check(!entry1.hasEnded());
        links.end(cut);
    });
    section("the one that was silent is answered at the end", [&] {
        links.end(silent);
        check(waitUntil([&] { return entry1.hasEnded(); }, WaitLimit));
        check(entry1.wasAnswered());
    });
    section("a fault of all callers concerns each", [&] {
        links.apply({link_fault_kind::Silent, AnyCaller, "agent-0", {}});
        plain_caller again(address);
        again.request("all");
        check(again.receive(SilenceCheck) == reception::Nothing);
        links.endAll();
        check(again.receive() == reception::Data);
    });
}

// Guards against a fault that the record of a soak lacks or names otherwise.
Test(soak_links, record_of_faults)
{
    one_link system;
    const auto slow = one_link::faultOf(link_fault_kind::Slow, Delay);
    system.links.apply(slow);
    system.links.end(slow);
    system.links.end(slow);
    system.links.apply(one_link::faultOf(link_fault_kind::Reset));
    std::vector<fault_noted> noted;
    for (const auto &item : system.events.items())
        noted.push_back(std::get<fault_noted>(item.event));
    section("each begin and end is noted once, a reset has no end", [&] {
        require(noted.size() == 3);
        check(noted[0].kind == "link_slow" && noted[0].isBegin && noted[0].detail == "60 ms");
        check(noted[1].kind == "link_slow" && !noted[1].isBegin);
        check(noted[2].kind == "link_reset" && noted[2].isBegin);
    });
    section("the link is named by its ends", [&] { check(noted[0].target == "entry-0>store"); });
    section("an unknown link is a mistake", [&] {
        cr_assert_throw(system.links.addressFor("entry-1", "store"), std::out_of_range);
        cr_assert_throw(system.links.apply({link_fault_kind::Cut, "entry-1", "store", {}}),
                        std::out_of_range);
    });
}
