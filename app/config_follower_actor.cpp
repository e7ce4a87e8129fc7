#include "app/config_follower_actor.h"

#include "base/errors.h"
#include "base/json_member.h"
#include "config/content_slice.h"
#include "rpc/rpc.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 256;
constexpr milliseconds TickInterval{250};

config::follower_settings followerSettings(const config::agent_settings &settings)
{
    config::follower_settings out;
    out.process = settings.id;
    out.role = "agent";
    out.scope = config::content_scope{settings.upstream.service, settings.worker.pool};
    return out;
}

} // namespace

config_follower_actor::config_follower_actor(actor_runtime &system,
                                             const config::agent_settings &settings,
                                             rpc_sender &sender, metrics &counters,
                                             const logger &log)
    : m_sender(sender)
    , m_metrics(counters)
    , m_log(log)
    , m_follower(followerSettings(settings))
{
    m_report = m_follower.report();
    m_actor = std::make_unique<event_actor<event>>(
            system, RingCapacity, [this](event &newEvent) { handle(newEvent); }, TickInterval,
            [this] { feed(config::tick{}); });
    m_actor->start();
}

config_follower_actor::~config_follower_actor() = default;

void config_follower_actor::stop()
{
    m_actor->stop();
}

Json::Value config_follower_actor::handleGenerationPush(const Json::Value &parameters)
{
    const auto report = config::generationReportFromJson(objectMember(parameters, "report"));
    const auto address = stringMember(parameters, "address");
    return postAndAwaitReply([&](const reply_promise &reply) {
        return m_actor->post(generation_push{report, address, reply});
    });
}

void config_follower_actor::handle(event &newEvent)
{
    if (const auto *read = std::get_if<config::content_read>(&newEvent)) {
        feed(*read);
        return;
    }
    auto &push = std::get<generation_push>(newEvent);
    m_entryAddresses[push.report.process] = push.address;
    m_lastEntryAddress = push.address;
    feed(config::report_received{push.report});
    push.reply->set_value(toJson(m_follower.report()));
}

void config_follower_actor::feed(const config::generation_event &newEvent)
{
    for (const auto &action : m_follower.handle(newEvent, monotonic_clock::now())) {
        if (const auto *read = std::get_if<config::read_content>(&action)) {
            fetchContent(*read);
        } else if (const auto *adopted = std::get_if<config::adopt_generation>(&action)) {
            m_metrics.setGauge("configuration_generation",
                               static_cast<double>(adopted->generation));
            Json::Value fields(Json::objectValue);
            fields["generation"] = Json::UInt64(adopted->generation);
            m_log.info("generation_in_force", fields);
            const std::lock_guard lock(m_mutex);
            m_report = m_follower.report();
        }
    }
}

config::generation_report config_follower_actor::report() const
{
    const std::lock_guard lock(m_mutex);
    return m_report;
}

// Agents do not access the object store, so the content is always requested from an entry: from the
// source that the follower chose if its address is known, otherwise from the entry that pushed
// last.
void config_follower_actor::fetchContent(const config::read_content &action)
{
    const auto known = m_entryAddresses.find(action.peer);
    const auto address = known == m_entryAddresses.end() ? m_lastEntryAddress : known->second;
    const auto request = action.request;
    m_sender.call(address, "generation_content", toJson(action),
                  [this, request](const std::optional<Json::Value> &answer) {
                      m_actor->post(config::contentReadFromJson(request, answer));
                  });
}

} // namespace zinniabarrow
