// Writes logs as JSON lines to standard error, each with one event name.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <json/json.h>

namespace zinniabarrow {

enum class log_level { Debug, Info, Warning, Error };
std::string_view nameOf(log_level level);
std::optional<log_level> logLevelNamed(std::string_view name);
void fromName(const std::string &name, log_level &level); // throws error BadSettings

// Thread-safe; lines of several threads do not mix.
class logger
{
public:
    logger(std::string role, std::string id, log_level minLevel = log_level::Info);

    void write(log_level level, std::string_view event,
               Json::Value fields = Json::Value(Json::objectValue)) const;
    void info(std::string_view event, Json::Value fields = Json::Value(Json::objectValue)) const;
    void warn(std::string_view event, Json::Value fields = Json::Value(Json::objectValue)) const;

private:
    std::string m_role;
    std::string m_id;
    log_level m_minLevel;
};

} // namespace zinniabarrow
