// Entries that are stopped as planned in turn, amid callers, with little processor time. All that
// varies is drawn from a seed: ZB_SOAK_SEED=N runs that one, ZB_SOAK_LOGS=FOLDER keeps the lines of
// the processes when it fails.
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <mutex>
#include <random>
#include <set>
#include <stop_token>
#include <thread>

#include "job_system.h"
#include "kept_caller.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

// Every seed that ever failed stays, one for each cause.
constexpr unsigned Seeds[] = {
        2, // an entry that was behind judged that no request was open while some stood in its
           // sockets
        9, // a connection of which only the request line was read was taken for idle
};

constexpr int Stops = 10;
constexpr int CallersOfAnEntry = 8;
constexpr std::size_t JobsAtMost = 500;
constexpr milliseconds KilledAfter{6000}; // as the users' platform does
constexpr milliseconds RaceAtMost{200};   // between a request and the end of an idle connection
constexpr milliseconds ArrivesWithin{20}; // what was sent to a socket on this machine
constexpr milliseconds Tick{5};           // of what is done to the processes
constexpr milliseconds LookAtLines{50};   // for a line that is waited for
constexpr milliseconds TaskLasts{100};

class lot
{
public:
    explicit lot(unsigned seed)
        : m_numbers(seed)
    { }
    int between(int least, int most)
    {
        return least + static_cast<int>(m_numbers() % static_cast<unsigned>(most - least + 1));
    }
    std::size_t below(std::size_t bound) { return m_numbers() % bound; }
    milliseconds time(int leastMs, int mostMs) { return milliseconds(between(leastMs, mostMs)); }
    bool oneIn(int count) { return between(1, count) == 1; }

private:
    std::mt19937 m_numbers;
};

// What all callers were told.
struct callers_record
{
    std::mutex mutex;
    std::vector<std::string> accepted; // jobs
    std::set<std::string> cancelled;   // jobs for which a cancel was sent
    std::vector<std::string> faults;
    int answered = 0;
    int raced = 0;     // with the end of their connection
    int brokenOff = 0; // their connection ended before they were whole
    std::size_t jobs = 0;
};

struct caller_request
{
    std::string method;
    std::string job; // empty: all of the queue
    std::string body;
};

// A caller of one entry: keeps connections, makes new ones, sends whole requests or two parts.
class soak_caller
{
public:
    soak_caller(std::string server, unsigned seed, callers_record &record,
                const std::atomic<bool> &burst)
        : m_server(std::move(server))
        , m_draws(seed)
        , m_record(record)
        , m_burst(burst)
    { }

    void run(const std::stop_token &over)
    {
        while (!over.stop_requested()) {
            kept_caller connection(m_server);
            if (!connection.isOpen())
                std::this_thread::sleep_for(milliseconds(10));
            int left = m_draws.between(1, 15);
            while (left-- > 0 && connection.isOpen() && !over.stop_requested())
                exchange(connection);
        }
    }

private:
    void exchange(kept_caller &connection)
    {
        std::this_thread::sleep_for(m_draws.time(0, m_burst ? 40 : 300));
        if (m_draws.oneIn(12))
            std::this_thread::sleep_for(m_draws.time(0, 2500)); // an idle connection
        if (!connection.isOpen())
            return;
        const auto request = draw();
        const auto path = "/holds/" + request.job;
        const auto text = connection.requestText(request.method, path, request.body);
        std::size_t first = 0;
        if (m_draws.oneIn(4)) {
            first = m_draws.oneIn(4) ? text.find("\r\n") + 2 : 1 + m_draws.below(text.size() - 1);
            if (!sendInPart(connection, request, text.substr(0, first)))
                return;
        }
        connection.sendText(text.substr(first));
        const auto sentAt = monotonic_clock::now();
        const auto status = connection.readAnswer();
        const auto open = connection.seenOpenAt() - sentAt;
        const std::lock_guard lock(m_record.mutex);
        if (status)
            return answered(request, *status);
        if (open <= RaceAtMost && connection.answerText().empty())
            ++m_record.raced;
        else
            fault(request, fmt::format("got no answer but \"{}\", open {} ms after it",
                                       connection.answerText(), millisecondsIn(open)));
    }

    // False when its connection ended before the rest could be sent.
    bool sendInPart(kept_caller &connection, const caller_request &request, const std::string &part)
    {
        connection.sendText(part);
        const auto sentAt = monotonic_clock::now();
        if (connection.staysOpenFor(m_draws.time(0, 300)))
            return true;
        const std::lock_guard lock(m_record.mutex);
        const bool wasRead = connection.isEndedInOrder();
        if (!wasRead || connection.seenOpenAt() - sentAt <= ArrivesWithin)
            ++m_record.brokenOff;
        else
            fault(request, fmt::format("was read in part ({} bytes) and given up", part.size()));
        return false;
    }

    void fault(const caller_request &request, const std::string &what)
    {
        m_record.faults.push_back(fmt::format("{}: {} /holds/{} {}; at {}", m_server,
                                              request.method, request.job, what,
                                              std::time(nullptr)));
    }

    caller_request draw()
    {
        const std::lock_guard lock(m_record.mutex);
        const auto &known = m_record.accepted;
        const auto kind = m_draws.between(0, 99);
        if (kind < 25 && m_record.jobs < JobsAtMost) {
            const auto some = m_draws.between(0, 0x7ffffffe);
            return {"POST", fmt::format("{:08x}{:08x}", some, ++m_record.jobs),
                    R"({"spec":"","steps":[{"count":1,"cpu":1000,"mem-mb":100}]})"};
        }
        if (kind < 50 || known.empty())
            return {"GET", "", ""};
        const auto last = static_cast<int>(known.size()) - 1;
        if (kind < 90)
            return {"GET", known[static_cast<std::size_t>(m_draws.between(0, last))], ""};
        const auto job =
                known[static_cast<std::size_t>(m_draws.between(std::max(0, last - 9), last))];
        m_record.cancelled.insert(job);
        return {"DELETE", job, ""};
    }

    void answered(const caller_request &request, int status)
    {
        ++m_record.answered;
        if (request.method == "POST" && status / 100 == 2)
            m_record.accepted.push_back(request.job);
        if (status == 410)
            fault(request, "of a job that was accepted got 410");
    }

    std::string m_server;
    lot m_draws;
    callers_record &m_record;
    const std::atomic<bool> &m_burst;
};

// Lends a process a share of a core, by letting it stand still for `pause` in each cycle.
class lent_time
{
public:
    lent_time() = default; // all of it
    lent_time(milliseconds pause, int percent)
        : m_pause(pause)
        , m_run(pause * percent / (100 - percent))
    { }

    void tick(const child_process &process, time_point now)
    {
        if (now < m_nextAt || m_pause == milliseconds(0))
            return;
        m_stoodStill += m_still ? now - m_since : duration(0);
        m_still = !m_still;
        m_since = now;
        m_nextAt = now + (m_still ? m_pause : m_run);
        process.signal(m_still ? SIGSTOP : SIGCONT);
    }

    duration stoodStill(time_point now) const
    {
        return m_stoodStill + (m_still ? now - m_since : duration(0));
    }

private:
    milliseconds m_pause{0};
    milliseconds m_run{0}; // between two pauses
    bool m_still = false;
    time_point m_since{};  // it stands still
    time_point m_nextAt{}; // it is stopped or continued
    duration m_stoodStill{0};
};

class stops_soak
{
public:
    explicit stops_soak(unsigned seed)
        : m_seed(seed)
        , m_draws(seed)
    {
        m_on.site().workLasts(TaskLasts);
    }

    void run()
    {
        startCallers();
        int index = m_draws.between(0, 1);
        for (int stop = 0; stop < Stops; ++stop) {
            drawSurroundings();
            pass(m_draws.time(0, 800));
            stopAndStart(index);
            index = m_draws.oneIn(4) ? index : 1 - index;
        }
        for (const int entry : {0, 1})
            lend(entry, {});
        m_on.site().turnAway(false);
        for (auto &caller : m_callers)
            caller.request_stop();
        m_callers.clear();
        checkAccepted();
        for (const auto &violation : m_on.site().violations())
            fault(violation);
    }

    const std::vector<std::string> &faults() const { return m_record.faults; }

    std::string summary() const
    {
        return fmt::format("seed {}: {} answered, {} raced with the end of their "
                           "connection, {} broken off in part; {} jobs; longest stop {} ms",
                           m_seed, m_record.answered, m_record.raced, m_record.brokenOff,
                           m_record.accepted.size(), millisecondsIn(m_longestStop));
    }

    void keepLines(const std::string &folder) const
    {
        std::filesystem::copy(m_on.scratch(), fmt::format("{}/seed-{}", folder, m_seed),
                              std::filesystem::copy_options::recursive);
    }

private:
    void startCallers()
    {
        for (int each = 0; each < 2 * CallersOfAnEntry; ++each) {
            const auto seed = m_seed * 100 + static_cast<unsigned>(each);
            m_callers.emplace_back([this, each, seed](const std::stop_token &over) {
                soak_caller(m_on.callersAddress(each % 2), seed, m_record, m_burst).run(over);
            });
        }
    }

    void drawSurroundings()
    {
        for (const int entry : {0, 1}) {
            const lent_time part(m_draws.time(20, 400), m_draws.between(12, 99));
            m_drawn[entry] = m_draws.oneIn(4) ? lent_time() : part;
            lend(entry, m_drawn[entry]);
        }
        m_burst = m_draws.oneIn(2);
        m_storeAwayAt = monotonic_clock::now() + m_draws.time(0, 3000);
        const auto lasts = m_draws.time(100, 4500);
        m_storeBackAt = m_storeAwayAt + (m_draws.oneIn(3) ? lasts : milliseconds(0));
    }

    void lend(int entry, lent_time lent)
    {
        m_on.entry(entry).signal(SIGCONT);
        m_lent[entry] = lent;
    }

    // What is done to all processes, at one moment.
    void tick(time_point now)
    {
        for (const int entry : {0, 1})
            m_lent[entry].tick(m_on.entry(entry), now);
        m_on.site().turnAway(now >= m_storeAwayAt && now < m_storeBackAt);
        std::this_thread::sleep_for(Tick);
    }

    void pass(milliseconds span)
    {
        const auto end = monotonic_clock::now() + span;
        for (auto now = monotonic_clock::now(); now < end; now = monotonic_clock::now())
            tick(now);
    }

    void stopAndStart(int index)
    {
        auto &entry = m_on.entry(index);
        const auto at = monotonic_clock::now();
        const auto lentBefore = m_lent[index].stoodStill(at);
        entry.signal(SIGTERM);
        // Both as of a moment at which it had not ended.
        duration span{};
        duration lent{};
        for (auto now = at; entry.running() && span - lent < KilledAfter;
             now = monotonic_clock::now()) {
            span = now - at;
            lent = m_lent[index].stoodStill(now) - lentBefore;
            tick(now);
        }
        m_longestStop = std::max(m_longestStop, span);
        checkEnd(index, span);
        startAgain(index);
    }

    void checkEnd(int index, duration span)
    {
        const auto code = m_on.entry(index).waitForExit(milliseconds(0));
        if (code != 0)
            fault(fmt::format("entry-{} ended with {} (-1: not) {} ms after it was told to stop",
                              index, code, millisecondsIn(span)));
        const auto text = m_on.written("entry", index, m_lifeFrom[index]);
        const auto stopped = text.rfind(R"("event":"stopped")");
        const auto last = stopped == std::string::npos ? "" : text.substr(stopped);
        for (const char *const field : {"callers_answering", "callers_writing"}) {
            if (last.find(fmt::format(R"("{}":0)", field)) == std::string::npos)
                fault(fmt::format("entry-{} cut off {}: {}", index, field, last));
        }
    }

    // Some are stopped again right after their start, others once they know all jobs.
    void startAgain(int index)
    {
        m_lifeFrom[index] = m_on.written("entry", index).size();
        m_on.startEntry(index);
        m_lent[index] = m_drawn[index];
        const auto *event = m_draws.oneIn(4) ? R"("event":"started")" : R"("event":"jobs_read")";
        const auto giveUpAt = monotonic_clock::now() + SoonEnough;
        while (m_on.written("entry", index, m_lifeFrom[index]).find(event) == std::string::npos) {
            if (monotonic_clock::now() > giveUpAt)
                return fault(fmt::format("entry-{} did not say {}", index, event));
            pass(LookAtLines);
        }
    }

    void checkAccepted()
    {
        for (const auto &job : m_record.accepted) {
            http_response last;
            const auto ended = [&](const char *as) {
                return last.body.find(as) != std::string::npos;
            };
            const auto isKnown = [&] {
                last = m_on.call(0, "GET", job).value_or(http_response{});
                return last.status == 410 || ended("completed")
                       || (m_record.cancelled.contains(job) && ended("cancelled"));
            };
            if (!waitUntil(isKnown, SoonEnough) || last.status == 410)
                return fault(fmt::format("job {} was accepted; last answer: {} {}", job,
                                         last.status, last.body));
        }
    }

    void fault(std::string text)
    {
        const std::lock_guard lock(m_record.mutex);
        m_record.faults.push_back(std::move(text));
    }

    unsigned m_seed;
    lot m_draws;
    system_under_test m_on;
    callers_record m_record;
    std::atomic<bool> m_burst = false;
    std::array<lent_time, 2> m_drawn; // as lent to each life of an entry
    std::array<lent_time, 2> m_lent;
    std::array<std::size_t, 2> m_lifeFrom{}; // of its lines
    time_point m_storeAwayAt{};
    time_point m_storeBackAt{};
    duration m_longestStop{};
    std::vector<std::jthread> m_callers;
};

void play(unsigned seed)
{
    stops_soak soak(seed);
    soak.run();
    fmt::print("{}\n", soak.summary());
    for (const auto &fault : soak.faults())
        cr_expect_fail("seed %u: %s", seed, fault.c_str());
    const char *folder = std::getenv("ZB_SOAK_LOGS");
    if (folder != nullptr && !soak.faults().empty())
        soak.keepLines(folder);
}

} // namespace

// Callers' requests stand in the sockets of an entry that is stopped as planned and behind, and it
// ends: their connections close without an answer.
Test(process_stops, every_whole_request_is_answered)
{
    const char *one = std::getenv("ZB_SOAK_SEED");
    if (one != nullptr)
        return play(static_cast<unsigned>(std::stoul(one)));
    for (const auto seed : Seeds)
        play(seed);
}
