// Record of one soak: what callers, workers and the driver of the faults saw, in the order in which
// it was noted. The promises are checked against it alone, and it is written to a file when one is
// broken.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"

namespace zinniabarrow::soak {

// A caller has sent the last byte of a request.
struct request_sent
{
    std::uint64_t request = 0; // unique in the soak
    std::string entry;
    std::string method;
    std::string job; // empty: about the whole queue
    std::string body;
    std::int64_t unixMs = 0; // wall clock at that moment; 0: not known
};

struct answer_received
{
    std::uint64_t request = 0;
    int status = 0;
    std::string body;
};

enum class connection_end { Closed, Reset, TimedOut };

// A connection ended, or its time was over, before the answer was complete.
struct request_unanswered
{
    std::uint64_t request = 0;
    connection_end how = connection_end::Closed;
    std::size_t answerBytes = 0; // of the incomplete answer
    time_point lastSeenOpenAt{}; // of the connection; none: when this is noted
};

struct run_started
{
    std::string worker;
    std::string job;
    int step = 0;
    int index = 0; // of the task in its step
    int run = 0;
    int occurrence = 0; // of a job with times
};

struct run_ended
{
    std::string worker;
    std::string job;
    int step = 0;
    int index = 0;
    int run = 0;
    std::string how; // the worker's word for the end
    int occurrence = 0;
};

// A disruption of one process, link or store begins or ends. A signal has no end.
struct fault_noted
{
    std::string kind;
    std::string target; // "entry-0", "agent-2", "worker-1", "store", or a link
    bool isBegin = true;
    std::string detail;
};

using soak_event = std::variant<request_sent, answer_received, request_unanswered, run_started,
                                run_ended, fault_noted>;

struct timeline_item
{
    time_point at;
    soak_event event;
};

// May be used from any thread.
class timeline
{
public:
    void note(soak_event event)
    {
        const std::lock_guard lock(m_mutex);
        m_items.push_back({monotonic_clock::now(), std::move(event)});
    }

    std::vector<timeline_item> items() const
    {
        const std::lock_guard lock(m_mutex);
        return m_items;
    }

    // Those from the position `first` on.
    std::vector<timeline_item> itemsFrom(std::size_t first) const
    {
        const std::lock_guard lock(m_mutex);
        return {m_items.begin() + static_cast<std::ptrdiff_t>(std::min(first, m_items.size())),
                m_items.end()};
    }

private:
    mutable std::mutex m_mutex;
    std::vector<timeline_item> m_items;
};

} // namespace zinniabarrow::soak
