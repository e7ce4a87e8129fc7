// The event log of a daemon: one JSON line per decision, written to standard output. It never
// blocks, and its rate is limited. The daemon calls flush() at regular intervals. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "base/time.h"

namespace zinniabarrow {

struct log_field
{
    log_field(std::string_view fieldName, std::string_view text);
    log_field(std::string_view fieldName, const char *text);
    log_field(std::string_view fieldName, const std::string &text);
    log_field(std::string_view fieldName, std::int64_t number);
    log_field(std::string_view fieldName, std::size_t number);
    log_field(std::string_view fieldName, int number);

    std::string_view name; // not copied: use a literal
    std::string json;      // JSON-encoded value
};

struct log_limits
{
    std::size_t bytesPerSecond = 24 * 1024; // sustained rate; 1.4 MB per minute and process
    // Enough for the lines of an entry that takes over several hundred jobs at once.
    std::size_t burstBytes = 128 * 1024;
};

class event_log
{
public:
    // `role` ("entry" or "agent") and `id` of the process are written into each line.
    event_log(std::string role, std::string id, const log_limits &limits = {});
    ~event_log();
    event_log(const event_log &) = delete;
    event_log &operator=(const event_log &) = delete;

    // Appends a line to the buffer. Drops and counts it when the byte budget is spent or when more
    // than log_limits::burstBytes are waiting in the buffer.
    void writeEvent(std::string_view event, std::initializer_list<log_field> fields);
    // Appends a line regardless of the budget: for lines that occur a few times in the life of a
    // process and that are needed to interpret the others.
    void writeAlways(std::string_view event, std::initializer_list<log_field> fields);
    // Writes as much as the reader of standard output accepts without blocking. The rest stays in
    // the buffer, which is bounded except for lines of writeAlways(). The destructor flushes too.
    void flush();
    std::uint64_t droppedCount() const { return m_droppedTotal; }

private:
    void append(std::string_view event, std::initializer_list<log_field> fields);

    std::string m_role;
    std::string m_id;
    log_limits m_limits;
    std::string m_pending;
    double m_budgetBytes;
    time_point m_refilledAt{};
    std::uint64_t m_droppedSinceLastLine = 0; // since the last "log_lines_dropped" line
    std::uint64_t m_droppedTotal = 0;
};

} // namespace zinniabarrow
