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

entry_pings::entry_pings(std::string self, const entry_pings_dependencies &dependencies,
                         std::function<bool()> isLeaving)
    : m_self(std::move(self))
    , m_client(dependencies.client)
    , m_configuration(dependencies.configuration)
    , m_directory(dependencies.directory)
    , m_log(dependencies.log)
    , m_isLeaving(std::move(isLeaving))
{ }

std::string entry_pings::selfDescription() const
{
    Json::Value value(Json::objectValue);
    value["entry"] = m_self;
    value["row"] = toText(m_ownRow);
    value["leaving"] = m_isLeaving();
    value["configuration"] = Json::Int64(m_configuration.version());
    return compactJson(value);
}

void entry_pings::applyDescription(const std::string &text)
{
    const auto value = parseJsonObject(text);
    const auto name = stringMember(value, "entry");
    const auto row = entryRowFrom(stringMember(value, "row"));
    m_directory.updateRow(name, row);
    m_directory.recordHeartbeat(name, row.incarnation, boolMember(value, "leaving"),
                                suspendAwareNow());
    if (value.isMember("configuration"))
        m_configuration.notePeerVersion(integerMember(value, "configuration"));
}

std::string entry_pings::handlePing(const std::string &ping)
{
    applyDescription(ping);
    return selfDescription();
}

void entry_pings::pingAll()
{
    const auto now = suspendAwareNow();
    m_directory.recordRole(now);
    for (const auto &[name, known] : m_directory.entries()) {
        if (!m_directory.shouldPing(name, now))
            continue;
        http_request ping;
        ping.method = "POST";
        ping.target = "/v1/ping";
        ping.body = selfDescription();
        m_client.call(known.row.internalAddress, std::move(ping), PingTimeout,
                      [this](const call_result &result) {
                          const auto *answer = std::get_if<http_response>(&result);
                          if (answer == nullptr || answer->status != 200)
                              return;
                          try {
                              applyDescription(answer->body);
                          } catch (const error &problem) {
                              m_log.writeEvent("ping_unreadable", {{"why", problem.what()}});
                          }
                      });
    }
}

} // namespace zinniabarrow
