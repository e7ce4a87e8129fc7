#include "app/config_follower_actor.h"

#include "base/errors.h"
#include "base/json_member.h"
#include "config/content_slice.h"
#include "rpc/rpc.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 256;
constexpr milliseconds TickEvery{250};

config::follower_settings followerSettings(const config::agent_settings &settings)
{
    config::follower_settings out;
    out.process = settings.id;
    out.role = "agent";
    out.scope = config::content_scope{settings.upstream.service, settings.worker.pool};
    return out;
}

} // namespace

follow_duty::follow_duty(duty_system &system, const config::agent_settings &settings,
                         rpc_sender &sender, metrics &counters, const logger &log)
    : m_sender(sender)
    , m_metrics(counters)
    , m_log(log)
    , m_follower(followerSettings(settings))
{
    m_report = m_follower.report();
    m_duty = std::make_unique<duty<event>>(
            system, RingCapacity, [this](event &what) { handle(what); }, TickEvery,
            [this] { feed(config::tick{}); });
}

follow_duty::~follow_duty() = default;

void follow_duty::stop()
{
    m_duty->stop();
}

Json::Value follow_duty::generationPushed(const Json::Value &parameters)
{
    const auto report = config::generationReportFromJson(objectMember(parameters, "report"));
    const auto address = stringMember(parameters, "address");
    return postAndAwaitReply([&](const reply_promise &reply) {
        return m_duty->post(pushed{report, address, reply});
    });
}

void follow_duty::handle(event &what)
{
    if (const auto *read = std::get_if<config::content_read>(&what)) {
        feed(*read);
        return;
    }
    auto &told = std::get<pushed>(what);
    m_addresses[told.report.process] = told.address;
    m_lastAddress = told.address;
    feed(config::report_heard{told.report});
    told.reply->set_value(toJson(m_follower.report()));
}

void follow_duty::feed(const config::generation_event &what)
{
    for (const auto &action : m_follower.handle(what, monotonic_clock::now())) {
        if (const auto *read = std::get_if<config::read_content>(&action)) {
            fetch(*read);
        } else if (const auto *adopted = std::get_if<config::adopt_generation>(&action)) {
            m_metrics.set("configuration_generation", static_cast<double>(adopted->generation));
            Json::Value fields(Json::objectValue);
            fields["generation"] = Json::UInt64(adopted->generation);
            m_log.info("generation_in_force", fields);
            const std::lock_guard lock(m_mutex);
            m_report = m_follower.report();
        }
    }
}

config::generation_report follow_duty::report() const
{
    const std::lock_guard lock(m_mutex);
    return m_report;
}

// An agent has no business with the object store: whatever the source, an entry is asked.
void follow_duty::fetch(const config::read_content &action)
{
    const auto known = m_addresses.find(action.peer);
    const auto address = known == m_addresses.end() ? m_lastAddress : known->second;
    const auto request = action.request;
    m_sender.call(address, "generation_content", toJson(action),
                  [this, request](const std::optional<Json::Value> &answer) {
                      m_duty->post(config::contentReadFromJson(request, answer));
                  });
}

} // namespace zinniabarrow
