#include "soak/load.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <stop_token>
#include <thread>

#include <fmt/core.h>

#include "base/json.h"
#include "keep_alive_caller.h"
#include "soak/job_bodies.h"
#include "soak/random.h"

namespace zinniabarrow::soak {

using tests::keep_alive_caller;
using tests::request_outcome;

namespace {

constexpr milliseconds ReconnectInterval{20}; // while connections are refused
constexpr int MaxIdleMs = 2500;               // of a connection that a caller leaves unused
constexpr int MaxHalfPauseMs = 300;           // between the parts of a request
constexpr int MaxRepeats = 20;                // of a request without a conclusive answer
constexpr seconds MaxRetryAfter{3};           // callers come back no later than this
constexpr milliseconds ReadInterval{50};      // of a job that has not ended

std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

struct call
{
    std::string method;
    std::string job; // empty: about the whole queue
    std::string body;
    int repeats = 0; // of the same call before this one
};

struct call_answer
{
    int status = 0;
    std::optional<seconds> retryAfter;
    std::string body;
};

struct accepted_job
{
    std::string id;
    bool isLongRunning = false;
    bool isCancelSent = false;
};

// What all callers know of the jobs. May be used from any thread.
class job_list
{
public:
    // A number for a new job; none when all have been submitted.
    std::optional<std::size_t> takeNumber(std::size_t maxJobs)
    {
        const std::lock_guard lock(m_mutex);
        return m_submitted < maxJobs ? std::optional(++m_submitted) : std::nullopt;
    }
    bool takeLongRunning(std::size_t maxJobs)
    {
        const std::lock_guard lock(m_mutex);
        if (m_longRunning >= maxJobs)
            return false;
        ++m_longRunning;
        return true;
    }
    void accept(const std::string &id, bool isLongRunning)
    {
        const std::lock_guard lock(m_mutex);
        if (m_indexById.emplace(id, m_accepted.size()).second)
            m_accepted.push_back({id, isLongRunning, false});
    }
    // One of the accepted jobs, mostly a recent one.
    std::optional<std::string> draw(random_source &random) const
    {
        const std::lock_guard lock(m_mutex);
        if (m_accepted.empty())
            return std::nullopt;
        constexpr std::size_t RecentJobs = 20;
        const auto count =
                random.oneIn(4) ? m_accepted.size() : std::min(m_accepted.size(), RecentJobs);
        return m_accepted[m_accepted.size() - 1 - random.indexBelow(count)].id;
    }
    void noteCancel(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        auto &job = m_accepted.at(m_indexById.at(id));
        if (job.isLongRunning && !job.isCancelSent)
            --m_longRunning;
        job.isCancelSent = true;
    }
    std::vector<accepted_job> accepted() const
    {
        const std::lock_guard lock(m_mutex);
        return m_accepted;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<accepted_job> m_accepted;
    std::map<std::string, std::size_t> m_indexById;
    std::size_t m_submitted = 0;
    std::size_t m_longRunning = 0; // submitted and not cancelled
};

// Sends calls on one connection and notes them and what becomes of them.
class noting_connection
{
public:
    noting_connection(std::string entry, const std::string &address, const load_options &options,
                      timeline &record)
        : m_entry(std::move(entry))
        , m_options(options)
        , m_record(record)
        , m_connection(address)
    { }

    bool isOpen() const { return m_connection.isOpen(); }
    bool staysOpenFor(milliseconds span) { return m_connection.staysOpenFor(span); }

    // Sends the call in one part, or in two with a pause between them. None: no answer, or the
    // connection ended before the second part could be sent.
    std::optional<call_answer> exchange(const call &call, std::uint64_t request,
                                        std::size_t firstPartSize = 0,
                                        milliseconds partPause = milliseconds(0))
    {
        const auto text =
                m_connection.requestText(call.method, m_options.prefix + call.job, call.body);
        firstPartSize = std::min(firstPartSize, text.size() - 1);
        if (firstPartSize > 0) {
            m_connection.sendText(text.substr(0, firstPartSize));
            if (!m_connection.staysOpenFor(partPause))
                return std::nullopt;
        }
        m_record.note(request_sent{request, m_entry, call.method, call.job, call.body, unixMs()});
        const auto sentAt = monotonic_clock::now();
        m_connection.sendText(text.substr(firstPartSize));
        const auto status = m_connection.readAnswer(sentAt + m_options.answerTimeout);
        if (!status) {
            noteUnanswered(request, sentAt);
            return std::nullopt;
        }
        const auto &answer = m_connection.answerText();
        auto body = answer.substr(answer.find("\r\n\r\n") + 4);
        m_record.note(answer_received{request, *status, body});
        return call_answer{*status, retryAfterOf(answer), std::move(body)};
    }

private:
    void noteUnanswered(std::uint64_t request, time_point sentAt)
    {
        auto how = connection_end::Closed;
        if (m_connection.outcome() == request_outcome::Reset)
            how = connection_end::Reset;
        if (m_connection.outcome() == request_outcome::TimedOut)
            how = connection_end::TimedOut;
        m_record.note(request_unanswered{request, how, m_connection.answerText().size(),
                                         std::max(sentAt, m_connection.lastSeenOpenAt())});
    }

    static std::optional<seconds> retryAfterOf(const std::string &answer)
    {
        constexpr std::string_view Field = "\r\nRetry-After: ";
        const auto at = answer.find(Field);
        if (at == std::string::npos)
            return std::nullopt;
        return std::min(seconds(std::stoi(answer.substr(at + Field.size()))), MaxRetryAfter);
    }

    std::string m_entry; // its name
    const load_options &m_options;
    timeline &m_record;
    keep_alive_caller m_connection;
};

} // namespace

struct soak_load::impl
{
    impl(std::vector<std::string> entryAddresses, unsigned loadSeed, timeline &timelineOfSoak,
         load_options loadOptions)
        : entries(std::move(entryAddresses))
        , seed(loadSeed)
        , record(timelineOfSoak)
        , options(std::move(loadOptions))
        , isCancelling(options.hasCancels)
    { }

    noting_connection connect(std::size_t entry) const
    {
        return {fmt::format("entry-{}", entry), entries[entry], options, record};
    }

    const std::vector<std::string> entries; // their addresses
    const unsigned seed;
    timeline &record;
    const load_options options;
    job_list jobs;
    std::atomic<std::uint64_t> lastRequest = 0;
    std::atomic<bool> isCancelling;
    unsigned startCount = 0;
    std::vector<std::jthread> callers;
};

namespace {

// One caller, on its own thread. Uses one connection until it ends, then opens the next at the same
// or another entry.
class soak_caller
{
public:
    soak_caller(soak_load::impl &load, std::size_t entry, unsigned seed)
        : m_load(load)
        , m_entry(entry)
        , m_random(seed)
    { }

    void run(const std::stop_token &stopToken)
    {
        while (!stopToken.stop_requested()) {
            auto connection = m_load.connect(m_entry);
            if (!connection.isOpen())
                std::this_thread::sleep_for(ReconnectInterval);
            while (connection.isOpen() && !stopToken.stop_requested()) {
                std::this_thread::sleep_for(m_random.time(0, m_load.options.maxPauseMs));
                if (m_random.oneIn(30))
                    std::this_thread::sleep_for(m_random.time(0, MaxIdleMs));
                const bool isUsable = connection.isOpen() && !stopToken.stop_requested();
                if (isUsable && !exchange(connection, nextCall()))
                    break; // an answer that comes late must not be taken for the next call's
            }
            if (m_random.oneIn(2))
                m_entry = m_random.indexBelow(m_load.entries.size());
        }
    }

private:
    struct repeat
    {
        time_point dueAt;
        call again;
    };

    // False if there was no answer.
    bool exchange(noting_connection &connection, const call &call)
    {
        const bool isInTwoParts = m_random.oneIn(4);
        const auto firstPartSize = isInTwoParts ? 1 + m_random.indexBelow(100) : 0;
        const auto partPause = m_random.time(0, MaxHalfPauseMs);
        const auto answer =
                connection.exchange(call, ++m_load.lastRequest, firstPartSize, partPause);
        const bool isAccepted = answer && answer->status / 100 == 2;
        if (isAccepted && call.method == "POST") {
            m_load.jobs.accept(call.job, call.body.find("long-running") != std::string::npos);
            constexpr int LateRepeatMs = 4000;
            if (call.repeats == 0 && m_random.oneIn(12))
                repeatAfter(m_random.time(500, LateRepeatMs), call);
        } else if (!isAccepted && call.method != "GET") {
            repeatIfInconclusive(call, answer);
        }
        return answer.has_value();
    }

    void repeatIfInconclusive(const call &call, const std::optional<call_answer> &answer)
    {
        const bool isRefused = answer && (answer->status == 429 || answer->status == 503);
        const bool isUnknown = !answer || answer->status >= 500;
        if (call.repeats >= MaxRepeats || !(isRefused || isUnknown))
            return;
        if (isRefused)
            repeatAfter(answer->retryAfter.value_or(seconds(1)) + m_random.time(0, 200), call);
        else
            repeatAfter(m_random.time(50, 800), call);
    }

    void repeatAfter(milliseconds delay, call again)
    {
        ++again.repeats;
        m_repeats.push_back({monotonic_clock::now() + delay, std::move(again)});
    }

    call nextCall()
    {
        const auto now = monotonic_clock::now();
        const auto due = std::find_if(m_repeats.begin(), m_repeats.end(),
                                      [&](const auto &each) { return each.dueAt <= now; });
        if (due == m_repeats.end())
            return drawCall();
        auto again = std::move(due->again);
        m_repeats.erase(due);
        return again;
    }

    call drawCall()
    {
        const auto drawn = m_random.between(0, 99);
        if (drawn < 30) {
            const auto number = m_load.jobs.takeNumber(m_load.options.maxJobs);
            if (number)
                return makeSubmission(*number);
        }
        const auto job = m_load.jobs.draw(m_random);
        if (drawn < 45 || !job)
            return {"GET", "", ""};
        if (drawn < 93 || !m_load.isCancelling)
            return {"GET", *job, ""};
        m_load.jobs.noteCancel(*job);
        return {"DELETE", *job, ""};
    }

    call makeSubmission(std::size_t number)
    {
        const auto id = fmt::format("{:08x}{:08x}", m_random.between(0, 0x7ffffffe), number);
        return {"POST", id, makeJobBody(drawKind(), m_load.options, unixMs(), m_random)};
    }

    job_kind drawKind()
    {
        const auto &kinds = m_load.options.kinds;
        const auto kind = kinds[m_random.indexBelow(kinds.size())];
        const auto mayRun = kind != job_kind::LongRunning
                            || m_load.jobs.takeLongRunning(m_load.options.maxLongRunningJobs);
        return mayRun ? kind : job_kind::SingleTask;
    }

    soak_load::impl &m_load;
    std::size_t m_entry;
    random_source m_random;
    std::vector<repeat> m_repeats;
};

} // namespace

soak_load::soak_load(std::vector<std::string> entryAddresses, unsigned seed, timeline &record,
                     load_options options)
    : m_impl(std::make_unique<impl>(std::move(entryAddresses), seed, record, std::move(options)))
{ }

soak_load::~soak_load() = default;

void soak_load::start()
{
    const auto callerCount =
            m_impl->entries.size() * static_cast<std::size_t>(m_impl->options.callersPerEntry);
    const auto firstSeed = m_impl->seed * 1000 + 100 * m_impl->startCount++;
    for (std::size_t index = 0; index < callerCount; ++index) {
        const auto callerSeed = firstSeed + static_cast<unsigned>(index);
        m_impl->callers.emplace_back([this, index, callerSeed](const std::stop_token &stopToken) {
            soak_caller(*m_impl, index % m_impl->entries.size(), callerSeed).run(stopToken);
        });
    }
}

void soak_load::stop()
{
    for (auto &caller : m_impl->callers)
        caller.request_stop();
    m_impl->callers.clear();
}

void soak_load::cancelSome(bool isCancelling)
{
    m_impl->isCancelling = isCancelling && m_impl->options.hasCancels;
}

std::size_t soak_load::readAllJobs(time_point giveUpAt)
{
    std::size_t unsettledCount = 0;
    std::size_t entry = 0;
    for (const auto &job : m_impl->jobs.accepted()) {
        const auto isSettled = [&] {
            entry = (entry + 1) % m_impl->entries.size();
            auto connection = m_impl->connect(entry);
            if (!connection.isOpen())
                return false;
            const auto answer = connection.exchange({"GET", job.id, ""}, ++m_impl->lastRequest);
            const auto shows = [&](const char *state) {
                return answer && answer->body.find(state) != std::string::npos;
            };
            return shows("completed") || shows("cancelled") || shows("failed")
                   || (job.isLongRunning && !job.isCancelSent && shows("running"))
                   || (answer && answer->status == 410);
        };
        bool wasSettled = isSettled();
        while (!wasSettled && monotonic_clock::now() < giveUpAt) {
            std::this_thread::sleep_for(ReadInterval);
            wasSettled = isSettled();
        }
        unsettledCount += wasSettled ? 0 : 1;
    }
    return unsettledCount;
}

std::size_t soak_load::acceptedCount() const
{
    return m_impl->jobs.accepted().size();
}

} // namespace zinniabarrow::soak
