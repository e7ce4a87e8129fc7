#include "standins/load.h"

#include <algorithm>
#include <thread>

#include "base/errors.h"
#include "base/json.h"
#include "base/random.h"

namespace zinniabarrow::standins {

namespace {

constexpr milliseconds AnswerGrace{1000}; // an entry's own answer comes by the deadline
constexpr unsigned RepeatTries = 10;
constexpr milliseconds RepeatEvery{200};

bool isOwnAnswer(const http_response &response, const http_request &request,
                 const std::string &operation)
{
    try {
        const auto echo = parseJson(response.body);
        return echo["operation"].asString() == operation && echo["body"].asString() == request.body;
    } catch (const error &) {
        return false;
    }
}

const char *wordsFor(call_failure failure)
{
    switch (failure) {
    case call_failure::NotConnected:
    case call_failure::ConnectionRefused:
        return "not connected";
    case call_failure::TimedOut:
        return "no answer in time";
    case call_failure::TooLarge:
        return "too large";
    case call_failure::IncompleteAnswer:
        break;
    }
    return "cut";
}

} // namespace

unsigned load_result::refusals() const
{
    unsigned sum = 0;
    for (const auto &[reason, count] : refused)
        sum += count;
    return sum;
}

unsigned load_result::refusedFor(const std::string &reason) const
{
    const auto found = refused.find(reason);
    return found == refused.end() ? 0 : found->second;
}

load_generator::load_generator(fleet &system, load_options options, load_result &result)
    : m_fleet(system)
    , m_options(std::move(options))
    , m_result(result)
{ }

void load_generator::run()
{
    std::vector<std::thread> callers;
    for (unsigned caller = 0; caller < m_options.callers; ++caller)
        callers.emplace_back([this, caller] { runCaller(caller); });
    for (auto &caller : callers)
        caller.join();
}

void load_generator::runCaller(unsigned caller)
{
    random_generator random(caller);
    const auto startedAt = std::chrono::steady_clock::now();
    const auto entries = m_fleet.options().entries;
    for (unsigned turn = 0; m_started++ < m_options.requests; ++turn) {
        std::this_thread::sleep_until(startedAt
                                      + turn * microseconds(1'000'000) * m_options.callers
                                                / m_options.perSecond);
        const auto operation =
                m_options.prefix + "-" + std::to_string(caller) + "-" + std::to_string(turn);
        const auto kind = drawIndex(random, 10);
        const auto entry = static_cast<unsigned>(drawIndex(random, entries));
        if (kind < 6) {
            ask(entry, {"GET", "/tickets/seats", {}, {}}, operation);
        } else {
            http_request purchase{"POST", "/tickets/hold", {}, "seat " + operation};
            if (kind < 9)
                purchase.headers["Idempotency-Key"] = operation;
            ask(entry, purchase, operation);
            if (kind == 8) // the balancer repeats it at another entry
                repeat((entry + 1) % entries, purchase, operation);
        }
        ++m_done;
    }
}

// Comes back as long as it is told that the first try is still open.
void load_generator::repeat(unsigned entry, const http_request &purchase,
                            const std::string &operation)
{
    for (unsigned attempt = 1; attempt <= RepeatTries; ++attempt) {
        if (ask(entry, purchase, operation) != "key_in_progress")
            return;
        std::this_thread::sleep_for(RepeatEvery);
    }
}

std::string load_generator::ask(unsigned entry, http_request request, const std::string &operation)
{
    request.headers["Operation"] = operation;
    request.headers["Zb-Deadline-Ms"] = std::to_string(m_options.deadline.count());
    const auto startedAt = monotonic_clock::now();
    const auto result = m_pools.poolFor(m_fleet.entryAddress(entry))
                                .call(request, startedAt + m_options.deadline + AnswerGrace);
    const std::chrono::duration<double, std::milli> took = monotonic_clock::now() - startedAt;
    const std::lock_guard lock(m_result.mutex);
    ++m_result.asked;
    if (request.method == "POST")
        m_result.nonIdempotent.insert(operation);
    if (const auto *failure = std::get_if<call_failure>(&result)) {
        if (!mayHaveArrived(*failure))
            m_result.saidNotRun.insert(operation);
        else
            m_result.mayHaveRun.insert(operation);
        ++m_result.refused[wordsFor(*failure)];
        return wordsFor(*failure);
    }
    const auto &response = std::get<http_response>(result);
    const auto reason = response.header("Zb-Error");
    if (response.header("Zb-Executed") == "no")
        m_result.saidNotRun.insert(operation);
    else
        m_result.mayHaveRun.insert(operation);
    if (reason == "key_in_progress") {
        ++m_result.toldToComeBack;
        return reason;
    }
    if (!reason.empty()) {
        ++m_result.refused[reason];
        return reason;
    }
    ++m_result.answered;
    m_result.milliseconds.push_back(took.count());
    if (response.header("Zb-Replayed") == "yes")
        ++m_result.replayed;
    if (!isOwnAnswer(response, request, operation))
        ++m_result.wrongAnswers;
    return {};
}

std::map<std::string, unsigned> executionsOf(fleet &system)
{
    std::map<std::string, unsigned> runs;
    for (unsigned index = 0; index < system.options().workers; ++index) {
        if (!system.upstream(index) || !system.upstream(index)->running())
            continue;
        const auto executions = system.getJson(system.upstreamAddress(index), "/executions");
        for (const auto &operation : executions["operations"].getMemberNames())
            runs[operation] += executions["operations"][operation].asUInt();
    }
    return runs;
}

std::vector<std::string> brokenPromises(fleet &system, const load_result &result)
{
    std::vector<std::string> broken;
    auto runs = executionsOf(system);
    for (const auto &operation : result.nonIdempotent) {
        if (runs[operation] > 1)
            broken.push_back(operation + " ran " + std::to_string(runs[operation]) + " times");
    }
    for (const auto &operation : result.saidNotRun) {
        if (result.mayHaveRun.count(operation) == 0 && runs[operation] > 0)
            broken.push_back(operation + " ran although the answer said it had not");
    }
    for (unsigned index = 0; index < system.options().workers; ++index) {
        if (!system.upstream(index) || !system.upstream(index)->running())
            continue;
        const auto executions = system.getJson(system.upstreamAddress(index), "/executions");
        if (executions["overruns"].asUInt() > 0)
            broken.push_back("upstream " + std::to_string(index) + " had more than its slots");
    }
    return broken;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace zinniabarrow::standins
