// Load generator: callers that send requests to all entries at a given rate, seeded, and record the
// outcome of each request.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "standins/fleet.h"

namespace zinniabarrow::standins {

struct load_options
{
    unsigned requests = 600; // first attempts; repeats are added
    // First attempts, over all callers. A request with an idempotency key writes two rows, and the
    // platform stand-in accepts 500 rows a second by default.
    unsigned perSecond = 150;
    unsigned callers = 24;       // threads
    milliseconds deadline{5000}; // of each request
    std::string prefix = "op";   // of operation names
};

// Outcomes of the requests; `mutex` guards all fields.
struct load_result
{
    std::mutex mutex;
    unsigned sentRequests = 0;
    unsigned answeredRequests = 0;
    unsigned replayedAnswers = 0;   // of these, stored answers of the first attempt
    unsigned inProgressAnswers = 0; // repeats refused while the first attempt was in progress
    unsigned wrongAnswers = 0;      // answers that belong to another request or are incomplete
    std::map<std::string, unsigned> refusedByReason; // by error reason or kind of call failure
    // Operations with an attempt that may have been executed.
    std::set<std::string> mayHaveExecuted;
    // Operations with an attempt that was reported as not executed.
    std::set<std::string> reportedNotExecuted;
    std::set<std::string> nonIdempotent; // operations that must not be executed twice
    std::vector<double> latenciesMs;     // latencies of answered requests

    unsigned countRefusals() const;
    unsigned countRefusalsFor(const std::string &reason) const;
};

// Sends the requests of `options` and adds their outcomes to `result`.
class load_generator
{
public:
    load_generator(fleet &system, load_options options, load_result &result);

    // Sends all requests; returns when the last caller has finished.
    void run();
    unsigned completedRequests() const { return m_completedRequests; }

    // Sends one request of `operation`, which identifies it in the counts. Returns the reason of
    // the refusal or failure, empty when an answer arrived.
    std::string sendRequest(unsigned entry, http_request request, const std::string &operation);

private:
    void runCaller(unsigned caller);
    void repeatWhileInProgress(unsigned entry, const http_request &purchase,
                               const std::string &operation);

    fleet &m_fleet;
    load_options m_options;
    load_result &m_result;
    http_pools m_pools;
    std::atomic<unsigned> m_startedRequests{0};
    std::atomic<unsigned> m_completedRequests{0};
};

// How often each operation was executed, summed over all upstreams that run.
std::map<std::string, unsigned> countExecutions(fleet &system);

// Describes each violation: non-idempotent operations that were executed twice, operations that
// were executed although every attempt was reported as not executed, and upstreams that had more
// concurrent requests than slots.
std::vector<std::string> findGuaranteeViolations(fleet &system, const load_result &result);

// The value at `fraction` (0 to 1) of the sorted values; 0 when there are none.
double percentile(std::vector<double> values, double fraction);

} // namespace zinniabarrow::standins
