// Crowds of callers that send as much as the limits of one request allow, against an entry as a
// real process. The checks do not depend on the machine's speed: the process lives, its memory and
// its open files stay under a bound, and an ordinary request is answered afterwards.
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <linux/sockios.h>
#include <memory>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include <fmt/core.h>

#include "job_processes.h"
#include "section.h"
#include "standins/job_platform.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

constexpr std::size_t Mebibyte = 1024 * 1024;
constexpr std::size_t LargestBodyBytes = 256 * 1024; // that an entry takes from a caller
constexpr std::size_t HeldBackBytes = 8;             // by which a body stops short of its end

// The entry under test may hold this much of its callers' requests. Twice of it, because what is
// freed can't all be used again, and 8 MiB for one request in work, is what a crowd may add to the
// memory that the process has at rest.
constexpr std::int64_t RequestMemoryBytes = 4 * Mebibyte;
constexpr std::int64_t SmallestRequestMemoryBytes = Mebibyte; // that the settings allow
constexpr std::size_t AllowedGrowthBytes = 2 * RequestMemoryBytes + 8 * Mebibyte;
// The least memory of a machine that runs an entry.
constexpr std::size_t SmallestMachineBytes = 160 * Mebibyte;
// Files and connections of its own that an entry may open meanwhile.
constexpr std::size_t AllowedOwnDescriptors = 64;

// What one client sends: `begin`, then `piece` again and again, then `end`.
struct client_text
{
    std::string begin;
    std::string piece;
    std::size_t pieces = 0;
    std::string end = {};

    std::size_t size() const { return begin.size() + pieces * piece.size() + end.size(); }

    // The longest run of bytes from `offset` on that lies in one of the three parts.
    std::string_view from(std::size_t offset) const
    {
        if (offset < begin.size())
            return std::string_view(begin).substr(offset);
        offset -= begin.size();
        if (offset < pieces * piece.size())
            return std::string_view(piece).substr(offset % piece.size());
        return std::string_view(end).substr(offset - pieces * piece.size());
    }
};

// Clients that all send the same text, each on a connection of its own, which stays open until the
// crowd is destroyed or the server closes it.
class crowd
{
public:
    crowd(const std::string &server, int clients, client_text text)
        : m_text(std::move(text))
    {
        const auto address = parseAddress(server);
        sockaddr_in serverAddress{};
        serverAddress.sin_family = AF_INET;
        serverAddress.sin_port = htons(static_cast<std::uint16_t>(address.port));
        inet_pton(AF_INET, address.address.c_str(), &serverAddress.sin_addr);
        for (int each = 0; each < clients; ++each) {
            const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            require(handle >= 0);
            require(connect(handle, reinterpret_cast<const sockaddr *>(&serverAddress),
                            sizeof serverAddress)
                    == 0);
            m_clients.push_back({handle});
        }
    }
    ~crowd()
    {
        for (const auto &each : m_clients)
            close(each.handle);
    }
    crowd(const crowd &) = delete;
    crowd &operator=(const crowd &) = delete;

    // Returns once the text of each client has arrived at the server's machine or the client was
    // disconnected, or when no client could go on for a while because the server does not read.
    void sendAll()
    {
        std::vector<pollfd> waiting;
        while (true) {
            waiting.clear();
            for (const auto &each : m_clients) {
                if (!each.isClosed && each.sent < m_text.size())
                    waiting.push_back({each.handle, POLLOUT, 0});
            }
            if (waiting.empty()
                || poll(waiting.data(), waiting.size(), static_cast<int>(LongestPause.count()))
                           <= 0)
                break;
            for (auto &each : m_clients)
                sendSome(each);
        }
        waitUntil([this] { return hasAllArrived(); }, LongestPause);
    }

    // What has come of the first client's answer when its head is complete; empty: no answer.
    std::string firstAnswer() const
    {
        std::string text;
        std::array<char, 4096> buffer{};
        while (text.find("\r\n\r\n") == std::string::npos) {
            pollfd pollEntry{m_clients.front().handle, POLLIN, 0};
            if (poll(&pollEntry, 1, static_cast<int>(WaitLimit.count())) <= 0)
                return {};
            const auto received = recv(pollEntry.fd, buffer.data(), buffer.size(), 0);
            if (received <= 0)
                return {};
            text.append(buffer.data(), static_cast<std::size_t>(received));
        }
        return text;
    }

    std::size_t sentBytes() const
    {
        std::size_t sum = 0;
        for (const auto &each : m_clients)
            sum += each.sent;
        return sum;
    }
    std::size_t closedCount() const
    {
        return static_cast<std::size_t>(
                std::count_if(m_clients.begin(), m_clients.end(),
                              [](const client &each) { return each.isClosed; }));
    }

private:
    static constexpr milliseconds LongestPause{3000};

    struct client
    {
        int handle = -1;
        std::size_t sent = 0;
        bool isClosed = false;
    };

    void sendSome(client &to)
    {
        if (to.isClosed || to.sent >= m_text.size())
            return;
        const auto part = m_text.from(to.sent);
        const auto sent = ::send(to.handle, part.data(), part.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0)
            to.sent += static_cast<std::size_t>(sent);
        else if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
            to.isClosed = true;
    }

    bool hasAllArrived() const
    {
        return std::all_of(m_clients.begin(), m_clients.end(), [](const client &each) {
            int unacknowledgedBytes = 0;
            ioctl(each.handle, SIOCOUTQ, &unacknowledgedBytes);
            return each.isClosed || unacknowledgedBytes == 0;
        });
    }

    client_text m_text;
    std::vector<client> m_clients;
};

// The value of a line of /proc/PID/status, in bytes.
std::size_t statusBytes(pid_t process, const std::string &name)
{
    constexpr std::size_t Kibibyte = 1024;
    std::ifstream status(fmt::format("/proc/{}/status", process));
    std::string word;
    while (status >> word) {
        if (word == name + ":") {
            std::size_t kibibytes = 0;
            status >> kibibytes;
            return kibibytes * Kibibyte;
        }
    }
    return 0;
}

std::size_t openDescriptors(pid_t process)
{
    const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", process));
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

// One entry and one agent as real processes, with the stand-in of the platform.
class crowded_entry
{
public:
    explicit crowded_entry(std::int64_t requestMemoryBytes = RequestMemoryBytes)
        : m_platform({parseAddress(processAddress(0, StorePort)),
                      {parseAddress(processAddress(0, FirstWorkerPort))},
                      {parseAddress(processAddress(4, WorkersPort))}})
    {
        putConfiguration(7);
        m_processes.start(
                "entry", "job-entry",
                settingsOf(entry_process{.id = "entry", .requestMemoryBytes = requestMemoryBytes}));
        m_processes.start(
                "agent", "job-agent",
                settingsOf(agent_process{.id = "agent",
                                         .workerAddress = processAddress(0, FirstWorkerPort)}));
        require(waitUntil([] { return isEntryReady(2); }, WaitLimit));
        require(submit("aaaa000000000000"));
        m_restBytes = statusBytes(process(), "VmHWM");
        m_restDescriptors = openDescriptors(process());
        fmt::print(stderr, "{}: at rest {} MiB, {} descriptors\n", sectionName(),
                   m_restBytes / Mebibyte, m_restDescriptors);
    }

    std::string callersAddress() const { return processAddress(2, CallersPort); }

    std::unique_ptr<crowd> newCrowd(int clients, const client_text &text) const
    {
        return std::make_unique<crowd>(callersAddress(), clients, text);
    }

    // Submits a job in a body of the given size, most of which is white space; true: accepted.
    bool submit(const std::string &job, std::size_t bodyBytes = 0, bool isChunked = false) const
    {
        std::string body = R"({"spec":"seat","steps":[{"count":1,"cpu":100,"mem-mb":10}])";
        body.append(std::max(bodyBytes, body.size() + 1) - body.size() - 1, ' ');
        body += '}';
        const auto answer = exchange(
                isChunked
                        ? fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                                      requestHead(job), body.size(), body)
                        : fmt::format("{}Content-Length: {}\r\n\r\n{}", requestHead(job),
                                      body.size(), body));
        return answer.starts_with("HTTP/1.1 200 ");
    }

    bool isRunning() { return m_processes.at("entry").isRunning(); }

    // The checks that hold during and after any crowd of so many clients.
    void checkBounds(std::size_t clients, std::size_t memoryBound)
    {
        require(isRunning());
        const auto peak = statusBytes(process(), "VmHWM");
        const auto descriptors = openDescriptors(process());
        fmt::print(stderr, "{}: peak {} MiB, bound {} MiB, {} descriptors\n", sectionName(),
                   peak / Mebibyte, memoryBound / Mebibyte, descriptors);
        check(peak <= memoryBound);
        check(descriptors <= m_restDescriptors + clients + AllowedOwnDescriptors);
    }
    std::size_t allowedBytes() const { return m_restBytes + AllowedGrowthBytes; }
    std::size_t residentBytes() { return statusBytes(process(), "VmRSS"); }
    std::size_t descriptorCount() { return openDescriptors(process()); }
    std::size_t restDescriptors() const { return m_restDescriptors; }

    std::string requestHead(const std::string &job) const
    {
        const auto address = callersAddress();
        return fmt::format("POST /holds/{} HTTP/1.1\r\nHost: {}\r\n", job,
                           address.substr(0, address.find(':')));
    }

private:
    pid_t process() const { return m_processes.at("entry").processId(); }

    // The first bytes of the answer to a request on a connection of its own; empty: none.
    std::string exchange(const std::string &request) const
    {
        crowd single(callersAddress(), 1, {request, "", 0});
        single.sendAll();
        return single.firstAnswer();
    }

    standins::job_platform m_platform;
    job_processes m_processes{fmt::format("zb-crowd-{}", getpid())};
    std::size_t m_restBytes = 0;
    std::size_t m_restDescriptors = 0;
};

// Lets the crowd send, then checks that the entry lives within its bounds and answers an ordinary
// request, beside the crowd and after it.
void checkServesBesideCrowd(crowded_entry &entry, int clients, const client_text &text,
                            std::size_t memoryBound)
{
    static int jobNumber = 1;
    auto clientsOfEntry = entry.newCrowd(clients, text);
    clientsOfEntry->sendAll();
    section("an ordinary request is answered beside the crowd",
            [&] { check(entry.submit(fmt::format("bbbb{:012}", jobNumber++))); });
    section("the process stays within its bounds", [&] {
        fmt::print(stderr, "{}: {} MiB sent, {} of {} disconnected\n", sectionName(),
                   clientsOfEntry->sentBytes() / Mebibyte, clientsOfEntry->closedCount(), clients);
        entry.checkBounds(static_cast<std::size_t>(clients), memoryBound);
    });
    clientsOfEntry.reset();
    section("nothing of the crowd is left after it", [&] {
        check(waitUntil(
                [&] {
                    return entry.descriptorCount()
                           <= entry.restDescriptors() + AllowedOwnDescriptors;
                },
                WaitLimit));
        check(entry.residentBytes() <= memoryBound);
    });
    section("an ordinary request is answered after the crowd",
            [&] { check(entry.submit(fmt::format("bbbb{:012}", jobNumber++))); });
}

void checkServesBesideCrowd(int clients,
                            const std::function<client_text(const crowded_entry &)> &text)
{
    crowded_entry entry;
    checkServesBesideCrowd(entry, clients, text(entry), entry.allowedBytes());
}

client_text heldBody(const crowded_entry &entry)
{
    return {fmt::format("{}Content-Length: {}\r\n\r\n", entry.requestHead("cccc000000000001"),
                        LargestBodyBytes),
            std::string(LargestBodyBytes - HeldBackBytes, ' '), 1};
}

client_text heldChunkedBody(const crowded_entry &entry)
{
    constexpr std::size_t ChunkBytes = 1024;
    const auto chunkHead = fmt::format("{:x}\r\n", ChunkBytes);
    return {entry.requestHead("cccc000000000002") + "Transfer-Encoding: chunked\r\n\r\n",
            chunkHead + std::string(ChunkBytes, ' ') + "\r\n", LargestBodyBytes / ChunkBytes - 1,
            chunkHead + std::string(ChunkBytes - HeldBackBytes, ' ')};
}

} // namespace

// Guards against an entry that keeps whatever a caller sends behind the last chunk of a body: a few
// callers whose trailers do not end took all of its memory.
Test(process_crowd, trailers_without_end)
{
    constexpr int Clients = 20;
    checkServesBesideCrowd(Clients, [](const crowded_entry &entry) -> client_text {
        return {entry.requestHead("cccc000000000003") + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                "X-Trailer: " + std::string(1000, 'x') + "\r\n", 8 * 1024};
    });
}

// Guards against the same growth by the extension of a chunk.
Test(process_crowd, chunk_extension_without_end)
{
    constexpr int Clients = 20;
    checkServesBesideCrowd(Clients, [](const crowded_entry &entry) -> client_text {
        return {entry.requestHead("cccc000000000004") + "Transfer-Encoding: chunked\r\n\r\n1;x=",
                std::string(1024, 'x'), 8 * 1024};
    });
}

// Guards against a head without an end: its fields are short, and each part that arrives ends with
// a field, so that none of them is left for the limit of a head to count.
Test(process_crowd, heads_without_end)
{
    constexpr int Clients = 100;
    checkServesBesideCrowd(Clients, [](const crowded_entry &entry) -> client_text {
        constexpr std::string_view Field = "a: bcd\r\n";
        constexpr std::size_t PartBytes = 512; // that a listener reads at once
        std::string part;
        while (part.size() < PartBytes)
            part += Field;
        auto begin = entry.requestHead("cccc000000000005");
        constexpr std::string_view LastField = "b: \r\n";
        begin += "b: " + std::string(PartBytes - begin.size() - LastField.size(), 'x') + "\r\n";
        return {begin, part, 2048};
    });
}

// Guards against an entry that runs out of memory because many callers each send nearly all of a
// body that is allowed, and stay.
Test(process_crowd, bodies_held_short_of_their_end)
{
    constexpr int Clients = 300;
    checkServesBesideCrowd(Clients, heldBody);
}

// Guards against the same, where bodies come in chunks and nothing tells their size beforehand.
Test(process_crowd, chunked_bodies_held_short_of_their_end)
{
    constexpr int Clients = 300;
    checkServesBesideCrowd(Clients, heldChunkedBody);
}

// Guards against memory that each further crowd adds to what the one before has left.
Test(process_crowd, crowds_one_after_another)
{
    constexpr int Clients = 300;
    crowded_entry entry;
    for (int each = 0; each < 3; ++each) {
        checkServesBesideCrowd(entry, Clients, heldBody(entry), entry.allowedBytes());
        checkServesBesideCrowd(entry, Clients, heldChunkedBody(entry), entry.allowedBytes());
    }
}

// Guards against a default of the limit that is too large for the smallest machine of an entry.
Test(process_crowd, smallest_machine_with_default_settings)
{
    constexpr int Clients = 700;
    crowded_entry entry(0);
    checkServesBesideCrowd(entry, Clients, heldBody(entry), SmallestMachineBytes);
}

// Guards against bodies that arrive whole and are costly to read: each is an array of as many
// numbers as fit, and no job.
Test(process_crowd, whole_bodies_of_many_numbers)
{
    constexpr int Clients = 300;
    checkServesBesideCrowd(Clients, [](const crowded_entry &entry) -> client_text {
        constexpr std::string_view Begin = "[1";
        constexpr std::string_view Number = ",1";
        const auto count = LargestBodyBytes / Number.size() - Begin.size();
        std::string numbers;
        for (std::size_t each = 0; each < count; ++each)
            numbers += Number;
        const auto bytes = Begin.size() + numbers.size() + 1;
        return {fmt::format("{}Content-Length: {}\r\n\r\n{}", entry.requestHead("cccc000000000006"),
                            bytes, Begin),
                numbers, 1, "]"};
    });
}

// Guards against a limit for all callers together that refuses a single request which is within the
// limits of one.
Test(process_crowd, largest_request_in_calm)
{
    crowded_entry entry(SmallestRequestMemoryBytes);
    section("with its length in the head",
            [&] { check(entry.submit("dddd000000000001", LargestBodyBytes)); });
    section("in chunks", [&] { check(entry.submit("dddd000000000002", LargestBodyBytes, true)); });
    section("a larger one is refused",
            [&] { check(!entry.submit("dddd000000000003", LargestBodyBytes + 1)); });
}
