#include "standins/load.h"

#include <algorithm>
#include <thread>

#include "base/errors.h"
#include "base/json.h"
#include "base/random.h"

namespace zinniabarrow::standins {

namespace {

constexpr milliseconds AnswerGracePeriod{1000}; // the entry answers by the deadline itself
constexpr unsigned MaxRepeats = 10;
constexpr milliseconds RepeatInterval{200};

bool isMatchingAnswer(const http_response &response, const http_request &request,
                      const std::string &operation)
{
    try {
        const auto echo = parseJson(response.body);
        return echo["operation"].asString() == operation && echo["body"].asString() == request.body;
    } catch (const error &) {
        return false;
    }
}

const char *describeFailure(call_failure failure)
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

unsigned load_result::countRefusals() const
{
    unsigned sum = 0;
    for (const auto &[reason, count] : refusedByReason)
        sum += count;
    return sum;
}

unsigned load_result::countRefusalsFor(const std::string &reason) const
{
    const auto found = refusedByReason.find(reason);
    return found == refusedByReason.end() ? 0 : found->second;
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
    for (unsigned round = 0; m_startedRequests++ < m_options.requests; ++round) {
        std::this_thread::sleep_until(startedAt
                                      + round * microseconds(1'000'000) * m_options.callers
                                                / m_options.perSecond);
        const auto operation =
                m_options.prefix + "-" + std::to_string(caller) + "-" + std::to_string(round);
        const auto kind = drawIndex(random, 10);
        const auto entry = static_cast<unsigned>(drawIndex(random, entries));
        if (kind < 6) {
            sendRequest(entry, {"GET", "/tickets/seats", {}, {}}, operation);
        } else {
            http_request purchase{"POST", "/tickets/hold", {}, "seat " + operation};
            if (kind < 9)
                purchase.headers["Idempotency-Key"] = operation;
            sendRequest(entry, purchase, operation);
            if (kind == 8) // as a load balancer does that retries at another entry
                repeatWhileInProgress((entry + 1) % entries, purchase, operation);
        }
        ++m_completedRequests;
    }
}

// Repeats the purchase as long as the answer is that the first attempt is still in progress.
void load_generator::repeatWhileInProgress(unsigned entry, const http_request &purchase,
                                           const std::string &operation)
{
    for (unsigned attempt = 1; attempt <= MaxRepeats; ++attempt) {
        if (sendRequest(entry, purchase, operation) != "key_in_progress")
            return;
        std::this_thread::sleep_for(RepeatInterval);
    }
}

std::string load_generator::sendRequest(unsigned entry, http_request request,
                                        const std::string &operation)
{
    request.headers["Operation"] = operation;
    request.headers["Zb-Deadline-Ms"] = std::to_string(m_options.deadline.count());
    const auto startedAt = monotonic_clock::now();
    const auto result = m_pools.poolFor(m_fleet.entryAddress(entry))
                                .call(request, startedAt + m_options.deadline + AnswerGracePeriod);
    const std::chrono::duration<double, std::milli> latency = monotonic_clock::now() - startedAt;
    const std::lock_guard lock(m_result.mutex);
    ++m_result.sentRequests;
    if (request.method == "POST")
        m_result.nonIdempotent.insert(operation);
    if (const auto *failure = std::get_if<call_failure>(&result)) {
        if (!mayHaveArrived(*failure))
            m_result.reportedNotExecuted.insert(operation);
        else
            m_result.mayHaveExecuted.insert(operation);
        ++m_result.refusedByReason[describeFailure(*failure)];
        return describeFailure(*failure);
    }
    const auto &response = std::get<http_response>(result);
    const auto reason = response.header("Zb-Error");
    if (response.header("Zb-Executed") == "no")
        m_result.reportedNotExecuted.insert(operation);
    else
        m_result.mayHaveExecuted.insert(operation);
    if (reason == "key_in_progress") {
        ++m_result.inProgressAnswers;
        return reason;
    }
    if (!reason.empty()) {
        ++m_result.refusedByReason[reason];
        return reason;
    }
    ++m_result.answeredRequests;
    m_result.latenciesMs.push_back(latency.count());
    if (response.header("Zb-Replayed") == "yes")
        ++m_result.replayedAnswers;
    if (!isMatchingAnswer(response, request, operation))
        ++m_result.wrongAnswers;
    return {};
}

std::map<std::string, unsigned> countExecutions(fleet &system)
{
    std::map<std::string, unsigned> executionCounts;
    for (unsigned index = 0; index < system.options().workers; ++index) {
        if (!system.upstream(index) || !system.upstream(index)->isRunning())
            continue;
        const auto executions = system.getJson(system.upstreamAddress(index), "/executions");
        for (const auto &operation : executions["operations"].getMemberNames())
            executionCounts[operation] += executions["operations"][operation].asUInt();
    }
    return executionCounts;
}

std::vector<std::string> findGuaranteeViolations(fleet &system, const load_result &result)
{
    std::vector<std::string> violations;
    auto executionCounts = countExecutions(system);
    for (const auto &operation : result.nonIdempotent) {
        if (executionCounts[operation] > 1)
            violations.push_back(operation + " was executed "
                                 + std::to_string(executionCounts[operation]) + " times");
    }
    for (const auto &operation : result.reportedNotExecuted) {
        if (result.mayHaveExecuted.count(operation) == 0 && executionCounts[operation] > 0)
            violations.push_back(operation + " was executed although reported as not executed");
    }
    for (unsigned index = 0; index < system.options().workers; ++index) {
        if (!system.upstream(index) || !system.upstream(index)->isRunning())
            continue;
        const auto executions = system.getJson(system.upstreamAddress(index), "/executions");
        if (executions["overruns"].asUInt() > 0)
            violations.push_back("upstream " + std::to_string(index)
                                 + " had more concurrent requests than slots");
    }
    return violations;
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

} // namespace zinniabarrow::standins
