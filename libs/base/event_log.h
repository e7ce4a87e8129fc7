// The log of a daemon: one JSON line for each decision, on standard output, bounded and never
// blocking. One thread.
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

    std::string_view name;
    std::string json; // the value, as JSON
};

struct log_limits
{
    std::size_t bytesPerSecond = 24 * 1024; // over a minute: 1.4 MB a process
    std::size_t burstBytes = 128 * 1024;    // a takeover of some hundred jobs
};

class event_log
{
public:
    event_log(std::string role, std::string id, const log_limits &limits = {});
    ~event_log();
    event_log(const event_log &) = delete;
    event_log &operator=(const event_log &) = delete;

    // Drops the line, and counts it, when the budget is spent.
    void writeEvent(std::string_view event, std::initializer_list<log_field> fields);
    // A line of which there are few in a life of the process, and without which the others can't be
    // read: written whatever the budget.
    void writeAlways(std::string_view event, std::initializer_list<log_field> fields);
    // Writes what the reader takes at once; the rest stays, up to a bound.
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
    std::uint64_t m_droppedSinceLastLine = 0; // the last line that said so
    std::uint64_t m_droppedTotal = 0;
};

} // namespace zinniabarrow
