#include "app/entry_pings.h"

#include <utility>

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"
#include "net/event_loop.h"

namespace zinniabarrow {

using net::suspendAwareNow;

namespace {

constexpr milliseconds PingTimeout{500};

} // namespace

entry_pings::entry_pings(std::string self, const entry_pings_parts &parts,
                         std::function<bool()> leaving)
    : m_self(std::move(self))
    , m_caller(parts.caller)
    , m_configuration(parts.configuration)
    , m_directory(parts.directory)
    , m_log(parts.log)
    , m_leaving(std::move(leaving))
{ }

std::string entry_pings::selfDescription() const
{
    Json::Value value(Json::objectValue);
    value["entry"] = m_self;
    value["row"] = toText(m_row);
    value["leaving"] = m_leaving();
    value["configuration"] = Json::Int64(m_configuration.version());
    return compactJson(value);
}

void entry_pings::takeDescription(const std::string &text)
{
    const auto value = parseJsonObject(text);
    const auto name = stringMember(value, "entry");
    const auto row = entryRowFrom(stringMember(value, "row"));
    m_directory.seen(name, row);
    m_directory.heard(name, row.incarnation, boolMember(value, "leaving"), suspendAwareNow());
    if (value.isMember("configuration"))
        m_configuration.heardOf(integerMember(value, "configuration"));
}

std::string entry_pings::take(const std::string &ping)
{
    takeDescription(ping);
    return selfDescription();
}

void entry_pings::pingAll()
{
    for (const auto &[name, known] : m_directory.entries()) {
        http_request ping;
        ping.method = "POST";
        ping.target = "/v1/ping";
        ping.body = selfDescription();
        m_caller.call(known.row.internal, std::move(ping), PingTimeout,
                      [this](const call_result &result) {
                          const auto *answer = std::get_if<http_response>(&result);
                          if (answer == nullptr || answer->status != 200)
                              return;
                          try {
                              takeDescription(answer->body);
                          } catch (const error &problem) {
                              m_log.note("ping_unreadable", {{"why", problem.what()}});
                          }
                      });
    }
}

} // namespace zinniabarrow
