// Callers: a paced, seeded load over all entries that remembers what each request came to.
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
    unsigned requests = 600;     // first tries; repeats come on top
    unsigned perSecond = 150;    // keyed ones write two rows each of several hundred a second
    unsigned callers = 24;       // threads
    milliseconds deadline{5000}; // of each request
    std::string prefix = "op";   // of the operations' names
};

// What the requests came to.
struct load_result
{
    std::mutex mutex;
    unsigned sentRequests = 0;
    unsigned answeredRequests = 0;
    unsigned replayedAnswers = 0;   // of these from the answer kept from the first try
    unsigned inProgressAnswers = 0; // repeats that came while the first try was still open
    unsigned wrongAnswers = 0;      // an answer that was another's, or not whole
    std::map<std::string, unsigned> refusedByReason; // by reason, or by how the call failed
    std::set<std::string>
            mayHaveExecuted; // operations with a try that is not known not to have run
    std::set<std::string>
            reportedNotExecuted;         // operations with a try that was said not to have run
    std::set<std::string> nonIdempotent; // operations that must not run twice
    std::vector<double> milliseconds;    // of answered requests

    unsigned countRefusals() const;
    unsigned countRefusalsFor(const std::string &reason) const;
};

class load_generator
{
public:
    load_generator(fleet &system, load_options options, load_result &result);

    // Returns when the last caller is done.
    void run();
    unsigned completedRequests() const { return m_completedRequests; }

    // One request; the reason of its refusal, or empty when the whole answer came.
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

// How often each operation ran, over all upstreams that answer.
std::map<std::string, unsigned> countExecutions(fleet &system);

// Non-idempotent operations that ran twice, operations that ran although every try was said not to
// have run, and requests beyond an upstream's slots; in words.
std::vector<std::string> findGuaranteeViolations(fleet &system, const load_result &result);

double percentile(std::vector<double> values, double fraction);

} // namespace zinniabarrow::standins
