#include "base/event_log.h"

#include <algorithm>
#include <chrono>

#include <fmt/core.h>
#include <json/writer.h>
#include <poll.h>
#include <unistd.h>

namespace zinniabarrow {

namespace {

// A pipe that poll() reports as writable accepts this many bytes, so that write() does not block.
constexpr std::size_t MaxWriteBytes = 4096;

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

std::string quoted(std::string_view text)
{
    return Json::valueToQuotedString(std::string(text).c_str());
}

} // namespace

log_field::log_field(std::string_view fieldName, std::string_view text)
    : name(fieldName)
    , json(quoted(text))
{ }

log_field::log_field(std::string_view fieldName, const char *text)
    : log_field(fieldName, std::string_view(text))
{ }

log_field::log_field(std::string_view fieldName, const std::string &text)
    : log_field(fieldName, std::string_view(text))
{ }

log_field::log_field(std::string_view fieldName, std::int64_t number)
    : name(fieldName)
    , json(std::to_string(number))
{ }

log_field::log_field(std::string_view fieldName, std::size_t number)
    : name(fieldName)
    , json(std::to_string(number))
{ }

log_field::log_field(std::string_view fieldName, int number)
    : log_field(fieldName, std::int64_t{number})
{ }

event_log::event_log(std::string role, std::string id, const log_limits &limits)
    : m_role(std::move(role))
    , m_id(std::move(id))
    , m_limits(limits)
    , m_budgetBytes(static_cast<double>(limits.burstBytes))
    , m_refilledAt(monotonic_clock::now())
{ }

event_log::~event_log()
{
    flush();
}

void event_log::writeEvent(std::string_view event, std::initializer_list<log_field> fields)
{
    const auto now = monotonic_clock::now();
    const auto elapsedSeconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_budgetBytes =
            std::min(static_cast<double>(m_limits.burstBytes),
                     m_budgetBytes + elapsedSeconds * static_cast<double>(m_limits.bytesPerSecond));
    if (m_budgetBytes <= 0 || m_pending.size() > m_limits.burstBytes) {
        ++m_droppedSinceLastLine;
        ++m_droppedTotal;
        return;
    }
    const auto sizeBefore = m_pending.size();
    if (m_droppedSinceLastLine > 0)
        append("log_lines_dropped", {{"lines", static_cast<std::int64_t>(m_droppedSinceLastLine)}});
    m_droppedSinceLastLine = 0;
    append(event, fields);
    m_budgetBytes -= static_cast<double>(m_pending.size() - sizeBefore);
}

void event_log::writeAlways(std::string_view event, std::initializer_list<log_field> fields)
{
    append(event, fields);
}

void event_log::append(std::string_view event, std::initializer_list<log_field> fields)
{
    m_pending += fmt::format(R"({{"time_ms":{},"role":"{}","id":"{}","event":"{}")",
                             wallMilliseconds(), m_role, m_id, event);
    for (const auto &field : fields)
        m_pending += fmt::format(R"(,"{}":{})", field.name, field.json);
    m_pending += "}\n";
}

void event_log::flush()
{
    while (!m_pending.empty()) {
        pollfd reader{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&reader, 1, 0) != 1 || (reader.revents & POLLOUT) == 0)
            return;
        const auto size = std::min(MaxWriteBytes, m_pending.size());
        const auto written = ::write(STDOUT_FILENO, m_pending.data(), size);
        if (written <= 0)
            return;
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace zinniabarrow
