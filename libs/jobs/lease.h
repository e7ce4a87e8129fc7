// The lease of a worker: the row that gives its agent the right to let tasks run on, and how
// another process proves that the right has ended.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace zinniabarrow::jobs {

// How long after it sent a renewal that was written an agent may let tasks run. Longer than the
// platform's outages of 4 to 5 s plus one period of renewal; a worker that is gone keeps its tasks
// from starting elsewhere for about as long.
constexpr milliseconds LeaseLength{8000};
constexpr milliseconds RenewEvery{1500}; // two renewals may fail within one lease

// A worker's clock may be slow by 2%, and both ends read their clocks a little late.
constexpr milliseconds LeaseMargin{700};

struct lease_row
{
    std::int64_t epoch = 1; // of the worker: rises when all that ran there has ended for certain
    std::int64_t fence = 0; // of the agent: rises with each of its lives
    std::int64_t renewals = 0;
    std::string life;   // of the worker that the epoch stands for
    bool ended = false; // by a watcher: all that ran has ended, the agent starts afresh
    std::string write;  // names the write
};
std::string toText(const lease_row &row);
lease_row leaseFrom(const std::string &text); // throws error BadRequest

// Proves that a worker's lease has run out: its row was unchanged for the whole lease plus margin,
// counted on the watcher's own clock from when it had first read that version.
class lease_watch
{
public:
    // True when the row may be taken away from its agent, on the condition of `version`.
    bool observe(const std::string &worker, std::int64_t version, time_point now);
    void forget(const std::string &worker);

private:
    struct seen
    {
        std::int64_t version = 0;
        time_point endsAt{};
    };
    std::map<std::string, seen> m_seen;
};

} // namespace zinniabarrow::jobs
