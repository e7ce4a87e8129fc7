// Soak test of graceful shutdowns: entries are shut down and restarted in turn while callers send
// requests and processor time is short. All variation is drawn from a seed. ZB_SOAK_SEED=N runs one
// seed; ZB_SOAK_LOGS=FOLDER keeps the logs of the processes if it fails.
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <mutex>
#include <set>
#include <stop_token>
#include <thread>

#include "job_system.h"
#include "keep_alive_caller.h"
#include "soak/random.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;
using zinniabarrow::soak::random_source;

namespace {

// Seeds that failed once are kept, one per cause.
constexpr unsigned Seeds[] = {
        2, // a late entry decided that no request was open while some were unread in its sockets
        9, // a connection of which only the request line had been read was taken for idle
};

constexpr int ShutdownCount = 10;
constexpr int CallersPerEntry = 8;
constexpr std::size_t MaxJobs = 500;
constexpr milliseconds KillTimeout{6000}; // after the signal, as the platform does
// A request that was sent this shortly before its idle connection ended raced with that end.
constexpr milliseconds MaxRaceTime{200};
constexpr milliseconds MaxArrivalTime{20};  // for data sent to a socket on this machine
constexpr milliseconds TickInterval{5};     // interval of actions on the processes
constexpr milliseconds LogPollInterval{50}; // while waiting for a log line
constexpr milliseconds TaskDuration{100};

// What all callers together have seen.
struct callers_record
{
    std::mutex mutex;
    std::vector<std::string> accepted; // jobs
    std::set<std::string> cancelled;   // jobs for which a cancellation was sent
    std::vector<std::string> faults;
    int answeredCount = 0;
    int racedCount = 0;     // requests that raced with the end of an idle connection
    int brokenOffCount = 0; // requests whose connection ended before they were sent completely
    std::size_t jobCount = 0;
};

struct caller_request
{
    std::string method;
    std::string job; // empty: about the whole queue
    std::string body;
};

// A caller of one entry. Keeps connections open, opens new ones, sends requests whole or in two
// parts.
class soak_caller
{
public:
    soak_caller(std::string server, unsigned seed, callers_record &record,
                const std::atomic<bool> &isBurst)
        : m_server(std::move(server))
        , m_random(seed)
        , m_record(record)
        , m_isBurst(isBurst)
    { }

    void run(const std::stop_token &stopToken)
    {
        while (!stopToken.stop_requested()) {
            keep_alive_caller connection(m_server);
            if (!connection.isOpen())
                std::this_thread::sleep_for(milliseconds(10));
            int requestsLeft = m_random.between(1, 15);
            while (requestsLeft-- > 0 && connection.isOpen() && !stopToken.stop_requested())
                exchangeRequest(connection);
        }
    }

private:
    void exchangeRequest(keep_alive_caller &connection)
    {
        std::this_thread::sleep_for(m_random.time(0, m_isBurst ? 40 : 300));
        if (m_random.oneIn(12))
            std::this_thread::sleep_for(m_random.time(0, 2500)); // an idle connection
        if (!connection.isOpen())
            return;
        const auto request = drawRequest();
        const auto path = "/holds/" + request.job;
        const auto text = connection.requestText(request.method, path, request.body);
        std::size_t firstPartSize = 0;
        if (m_random.oneIn(4)) {
            firstPartSize = m_random.oneIn(4) ? text.find("\r\n") + 2
                                              : 1 + m_random.indexBelow(text.size() - 1);
            if (!sendFirstPart(connection, request, text.substr(0, firstPartSize)))
                return;
        }
        connection.sendText(text.substr(firstPartSize));
        const auto sentAt = monotonic_clock::now();
        const auto status = connection.readAnswer();
        const auto openTime = connection.lastSeenOpenAt() - sentAt;
        const std::lock_guard lock(m_record.mutex);
        if (status)
            return recordAnswer(request, *status);
        if (openTime <= MaxRaceTime && connection.answerText().empty()) {
            ++m_record.racedCount;
        } else {
            recordFault(
                    request,
                    fmt::format("got no answer but \"{}\"; its connection stayed open for {} ms",
                                connection.answerText(), millisecondsIn(openTime)));
        }
    }

    // False if the connection ended before the rest could be sent. That is a fault if the server
    // had read the part: then it closes the connection in order, otherwise it resets it.
    bool sendFirstPart(keep_alive_caller &connection, const caller_request &request,
                       const std::string &part)
    {
        connection.sendText(part);
        const auto sentAt = monotonic_clock::now();
        if (connection.staysOpenFor(m_random.time(0, 300)))
            return true;
        const std::lock_guard lock(m_record.mutex);
        const bool wasRead = connection.isClosedInOrder();
        if (!wasRead || connection.lastSeenOpenAt() - sentAt <= MaxArrivalTime) {
            ++m_record.brokenOffCount;
        } else {
            recordFault(request,
                        fmt::format("was read in part ({} bytes), then its connection was closed",
                                    part.size()));
        }
        return false;
    }

    void recordFault(const caller_request &request, const std::string &what)
    {
        m_record.faults.push_back(fmt::format("{}: {} /holds/{} {}; at {}", m_server,
                                              request.method, request.job, what,
                                              std::time(nullptr)));
    }

    caller_request drawRequest()
    {
        const std::lock_guard lock(m_record.mutex);
        const auto &known = m_record.accepted;
        const auto drawnKind = m_random.between(0, 99);
        if (drawnKind < 25 && m_record.jobCount < MaxJobs) {
            const auto randomValue = m_random.between(0, 0x7ffffffe);
            return {"POST", fmt::format("{:08x}{:08x}", randomValue, ++m_record.jobCount),
                    R"({"spec":"","steps":[{"count":1,"cpu":1000,"mem-mb":100}]})"};
        }
        if (drawnKind < 50 || known.empty())
            return {"GET", "", ""};
        const auto lastIndex = static_cast<int>(known.size()) - 1;
        if (drawnKind < 90)
            return {"GET", known[static_cast<std::size_t>(m_random.between(0, lastIndex))], ""};
        const auto job = known[static_cast<std::size_t>(
                m_random.between(std::max(0, lastIndex - 9), lastIndex))];
        m_record.cancelled.insert(job);
        return {"DELETE", job, ""};
    }

    void recordAnswer(const caller_request &request, int status)
    {
        ++m_record.answeredCount;
        if (request.method == "POST" && status / 100 == 2)
            m_record.accepted.push_back(request.job);
        if (status == 410)
            recordFault(request, "for an accepted job got 410");
    }

    std::string m_server;
    random_source m_random;
    callers_record &m_record;
    const std::atomic<bool> &m_isBurst;
};

// Limits a process to a share of a core, by suspending it for `pause` in each cycle.
class cpu_share
{
public:
    cpu_share() = default; // no limit
    cpu_share(milliseconds pause, int percent)
        : m_pause(pause)
        , m_runTime(pause * percent / (100 - percent))
    { }

    void tick(const child_process &process, time_point now)
    {
        if (now < m_nextChangeAt || m_pause == milliseconds(0))
            return;
        m_stoppedTime += m_isStopped ? now - m_stoppedSince : duration(0);
        m_isStopped = !m_isStopped;
        m_stoppedSince = now;
        m_nextChangeAt = now + (m_isStopped ? m_pause : m_runTime);
        process.signal(m_isStopped ? SIGSTOP : SIGCONT);
    }

    duration stoppedTime(time_point now) const
    {
        return m_stoppedTime + (m_isStopped ? now - m_stoppedSince : duration(0));
    }

private:
    milliseconds m_pause{0};
    milliseconds m_runTime{0}; // running time between two pauses
    bool m_isStopped = false;
    time_point m_stoppedSince{}; // start of the current pause
    time_point m_nextChangeAt{}; // when to suspend or resume the process next
    duration m_stoppedTime{0};
};

class shutdown_soak
{
public:
    explicit shutdown_soak(unsigned seed)
        : m_seed(seed)
        , m_random(seed)
    {
        m_system.platform().setTaskTime(TaskDuration);
    }

    void run()
    {
        startCallers();
        int index = m_random.between(0, 1);
        for (int shutdown = 0; shutdown < ShutdownCount; ++shutdown) {
            drawConditions();
            tickFor(m_random.time(0, 800));
            restartEntry(index);
            index = m_random.oneIn(4) ? index : 1 - index;
        }
        for (const int entry : {0, 1})
            setShare(entry, {});
        m_system.platform().setStoreUnavailable(false);
        for (auto &caller : m_callers)
            caller.request_stop();
        m_callers.clear();
        checkAcceptedJobs();
        for (const auto &violation : m_system.platform().violations())
            recordFault(violation);
    }

    const std::vector<std::string> &faults() const { return m_record.faults; }

    std::string summary() const
    {
        return fmt::format(
                "seed {}: {} answered, {} raced with the end of their "
                "connection, {} cut off before they were complete; {} jobs; longest shutdown {} ms",
                m_seed, m_record.answeredCount, m_record.racedCount, m_record.brokenOffCount,
                m_record.accepted.size(), millisecondsIn(m_longestShutdown));
    }

    void keepLogs(const std::string &folder) const
    {
        std::filesystem::copy(m_system.scratch(), fmt::format("{}/seed-{}", folder, m_seed),
                              std::filesystem::copy_options::recursive);
    }

private:
    void startCallers()
    {
        for (int each = 0; each < 2 * CallersPerEntry; ++each) {
            const auto seed = m_seed * 100 + static_cast<unsigned>(each);
            m_callers.emplace_back([this, each, seed](const std::stop_token &stopToken) {
                soak_caller(m_system.callersAddress(each % 2), seed, m_record, m_isBurst)
                        .run(stopToken);
            });
        }
    }

    void drawConditions()
    {
        for (const int entry : {0, 1}) {
            const cpu_share reducedShare(m_random.time(20, 400), m_random.between(12, 99));
            m_shares[entry] = m_random.oneIn(4) ? cpu_share() : reducedShare;
            setShare(entry, m_shares[entry]);
        }
        m_isBurst = m_random.oneIn(2);
        m_storeOutageFrom = monotonic_clock::now() + m_random.time(0, 3000);
        const auto outageDuration = m_random.time(100, 4500);
        m_storeOutageUntil =
                m_storeOutageFrom + (m_random.oneIn(3) ? outageDuration : milliseconds(0));
    }

    void setShare(int entry, cpu_share share)
    {
        m_system.entry(entry).signal(SIGCONT);
        m_currentShares[entry] = share;
    }

    // Applies the CPU shares and the store's outage as of `now`.
    void tick(time_point now)
    {
        for (const int entry : {0, 1})
            m_currentShares[entry].tick(m_system.entry(entry), now);
        m_system.platform().setStoreUnavailable(now >= m_storeOutageFrom
                                                && now < m_storeOutageUntil);
        std::this_thread::sleep_for(TickInterval);
    }

    void tickFor(milliseconds elapsed)
    {
        const auto end = monotonic_clock::now() + elapsed;
        for (auto now = monotonic_clock::now(); now < end; now = monotonic_clock::now())
            tick(now);
    }

    void restartEntry(int index)
    {
        auto &entry = m_system.entry(index);
        const auto signaledAt = monotonic_clock::now();
        const auto suspendedBefore = m_currentShares[index].stoppedTime(signaledAt);
        entry.signal(SIGTERM);
        // Both are measured at the last moment at which the process was still running.
        duration elapsed{};
        duration suspended{};
        for (auto now = signaledAt; entry.isRunning() && elapsed - suspended < KillTimeout;
             now = monotonic_clock::now()) {
            elapsed = now - signaledAt;
            suspended = m_currentShares[index].stoppedTime(now) - suspendedBefore;
            tick(now);
        }
        m_longestShutdown = std::max(m_longestShutdown, elapsed);
        checkExit(index, elapsed);
        startNextIncarnation(index);
    }

    void checkExit(int index, duration elapsed)
    {
        const auto code = m_system.entry(index).waitForExit(milliseconds(0));
        if (code != 0) {
            recordFault(fmt::format(
                    "entry-{} exited with code {} (-1: did not exit) {} ms after the signal", index,
                    code, millisecondsIn(elapsed)));
        }
        const auto text = m_system.logText("entry", index, m_incarnationLogFrom[index]);
        const auto stopped = text.rfind(R"("event":"stopped")");
        const auto lastLine = stopped == std::string::npos ? "" : text.substr(stopped);
        for (const char *const field : {"callers_answering", "callers_writing"}) {
            if (lastLine.find(fmt::format(R"("{}":0)", field)) == std::string::npos)
                recordFault(fmt::format("entry-{} cut off {}: {}", index, field, lastLine));
        }
    }

    // Waits until the new incarnation has started, or has read all jobs, before it may be stopped
    // again.
    void startNextIncarnation(int index)
    {
        m_incarnationLogFrom[index] = m_system.logText("entry", index).size();
        m_system.startEntry(index);
        m_currentShares[index] = m_shares[index];
        const auto *event = m_random.oneIn(4) ? R"("event":"started")" : R"("event":"jobs_read")";
        const auto giveUpAt = monotonic_clock::now() + WaitLimit;
        while (m_system.logText("entry", index, m_incarnationLogFrom[index]).find(event)
               == std::string::npos) {
            if (monotonic_clock::now() > giveUpAt)
                return recordFault(fmt::format("entry-{} did not log {}", index, event));
            tickFor(LogPollInterval);
        }
    }

    void checkAcceptedJobs()
    {
        for (const auto &job : m_record.accepted) {
            http_response answer;
            const auto hasState = [&](const char *state) {
                return answer.body.find(state) != std::string::npos;
            };
            const auto isSettled = [&] {
                answer = m_system.call(0, "GET", job).value_or(http_response{});
                return answer.status == 410 || hasState("completed")
                       || (m_record.cancelled.contains(job) && hasState("cancelled"));
            };
            if (!waitUntil(isSettled, WaitLimit) || answer.status == 410)
                return recordFault(fmt::format("job {} was accepted; last answer: {} {}", job,
                                               answer.status, answer.body));
        }
    }

    void recordFault(std::string text)
    {
        const std::lock_guard lock(m_record.mutex);
        m_record.faults.push_back(std::move(text));
    }

    unsigned m_seed;
    random_source m_random;
    system_under_test m_system;
    callers_record m_record;
    std::atomic<bool> m_isBurst = false;
    std::array<cpu_share, 2> m_shares;        // drawn last for each entry
    std::array<cpu_share, 2> m_currentShares; // applied now, with their state
    // Where the log of each entry's current incarnation begins.
    std::array<std::size_t, 2> m_incarnationLogFrom{};
    time_point m_storeOutageFrom{};
    time_point m_storeOutageUntil{};
    duration m_longestShutdown{};
    std::vector<std::jthread> m_callers;
};

void runSeed(unsigned seed)
{
    shutdown_soak soak(seed);
    soak.run();
    fmt::print("{}\n", soak.summary());
    for (const auto &fault : soak.faults())
        cr_expect_fail("seed %u: %s", seed, fault.c_str());
    const char *folder = std::getenv("ZB_SOAK_LOGS");
    if (folder != nullptr && !soak.faults().empty())
        soak.keepLogs(folder);
}

} // namespace

// Guards against an entry that exits while callers' requests are unread in its sockets, because it
// is shutting down and late: the callers' connections would close without an answer.
Test(process_stops, every_complete_request_is_answered)
{
    const char *seedText = std::getenv("ZB_SOAK_SEED");
    if (seedText != nullptr)
        return runSeed(static_cast<unsigned>(std::stoul(seedText)));
    for (const auto seed : Seeds)
        runSeed(seed);
}
