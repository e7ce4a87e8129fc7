#include "base/log.h"

#include <chrono>
#include <cstdio>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/core.h>

#include "base/errors.h"
#include "base/json.h"
#include "base/names.h"

namespace zinniabarrow {

namespace {

constexpr name_table<log_level, 4> LevelNames{{
        {log_level::Debug, "debug"},
        {log_level::Info, "info"},
        {log_level::Warning, "warning"},
        {log_level::Error, "error"},
}};

std::string wallTime()
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    const auto millisecondOfSecond = now.time_since_epoch().count() % 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millisecondOfSecond);
}

} // namespace

std::string_view nameOf(log_level level)
{
    return nameOf(LevelNames, level);
}

std::optional<log_level> logLevelNamed(std::string_view name)
{
    return valueOf(LevelNames, name);
}

void fromName(const std::string &name, log_level &level)
{
    const auto value = logLevelNamed(name);
    if (!value)
        throw error(error_kind::BadSettings, "unknown log level " + name);
    level = *value;
}

logger::logger(std::string role, std::string id, log_level minLevel)
    : m_role(std::move(role))
    , m_id(std::move(id))
    , m_minLevel(minLevel)
{ }

void logger::write(log_level level, std::string_view event, Json::Value fields) const
{
    if (level < m_minLevel)
        return;
    fields["time"] = wallTime();
    fields["level"] = std::string(nameOf(level));
    fields["event"] = std::string(event);
    fields["role"] = m_role;
    fields["id"] = m_id;
    // One print call per line, so that lines of several threads do not mix.
    fmt::print(stderr, "{}\n", compactJson(fields));
}

void logger::info(std::string_view event, Json::Value fields) const
{
    write(log_level::Info, event, std::move(fields));
}

void logger::warn(std::string_view event, Json::Value fields) const
{
    write(log_level::Warning, event, std::move(fields));
}

} // namespace zinniabarrow
