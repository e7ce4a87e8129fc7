#include "app/announcement_actor.h"

#include <thread>

#include "base/errors.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 1024;
constexpr milliseconds TickInterval{100};
// Two reports may be lost before operators see this process as silent.
constexpr milliseconds ReportRepeatInterval{4000};

request::announcement ownAnnouncement(const config::agent_settings &settings,
                                      const process_identity &self, const std::string &ownAddress)
{
    request::announcement out;
    out.agentId = settings.id;
    out.address = ownAddress;
    out.zone = settings.zone;
    out.region = settings.region;
    out.rack = settings.rack;
    out.service = settings.upstream.service;
    out.workerId = settings.worker.id;
    out.workerSize = {settings.worker.size.millicores, settings.worker.size.bytes,
                      settings.worker.size.accelerators};
    out.slots = static_cast<int>(settings.upstream.slots);
    out.incarnation = self.incarnation;
    return out;
}

request::announcer_settings announcerSettings(const config::agent_settings &settings)
{
    request::announcer_settings out;
    for (const auto &entry : settings.entries)
        out.entries.push_back(config::toText(entry));
    out.initialPeriod = settings.announceInterval;
    return out;
}

} // namespace

announcement_actor::announcement_actor(actor_runtime &system,
                                       const config::agent_settings &settings,
                                       const process_identity &self, const std::string &ownAddress,
                                       rpc_sender &sender,
                                       std::function<request::upstream_load()> load,
                                       std::function<config::generation_report()> generationReport,
                                       std::function<void()> onSuperseded)
    : m_sender(sender)
    , m_load(std::move(load))
    , m_generationReport(std::move(generationReport))
    , m_onSuperseded(std::move(onSuperseded))
    , m_announcer(announcerSettings(settings), ownAnnouncement(settings, self, ownAddress))
    , m_reportThrottle(ReportRepeatInterval)
{
    m_actor = std::make_unique<event_actor<event>>(
            system, RingCapacity, [this](event &newEvent) { handle(newEvent); }, TickInterval,
            [this] { tick(); });
    m_actor->start();
}

announcement_actor::~announcement_actor() = default;

void announcement_actor::setState(request::upstream_state state)
{
    while (!m_actor->post(state))
        std::this_thread::sleep_for(TickInterval);
}

void announcement_actor::stop()
{
    m_actor->stop();
}

void announcement_actor::handle(event &newEvent)
{
    if (const auto *state = std::get_if<request::upstream_state>(&newEvent)) {
        m_announcer.setState(*state);
        tick();
        return;
    }
    const auto &answer = std::get<announce_reply>(newEvent);
    if (!answer.reply)
        return; // the announcer sends it again, or replaces the entry if that stays unresponsive
    try {
        handleReply(answer);
    } catch (const error &) {
        return; // handled like a missing reply
    }
    m_isLeaveComplete = m_announcer.isLeaveComplete();
    // An agent that was paused and replaced meanwhile must not run beside its replacement.
    if (m_announcer.isSuperseded() && !m_isSupersededReported) {
        m_isSupersededReported = true;
        m_onSuperseded();
    }
}

void announcement_actor::handleReply(const announce_reply &answer)
{
    const auto now = monotonic_clock::now();
    const auto reply = request::announceReplyFromJson(*answer.reply);
    m_announcer.handleReply(answer.entry, reply, now);
    if (reply.needsFullAnnouncement)
        m_reportThrottle.resetReceiver(answer.entry); // the entry restarted and lost the reports
    else if (answer.sentReport)
        m_reportThrottle.recordAnswer(answer.entry, *answer.sentReport, now);
}

void announcement_actor::tick()
{
    m_announcer.setLoad(m_load());
    for (const auto &message : m_announcer.tick(monotonic_clock::now()))
        send(message);
    m_isLeaveComplete = m_announcer.isLeaveComplete();
}

void announcement_actor::send(const request::announcer::outgoing_message &message)
{
    Json::Value parameters(Json::objectValue);
    if (const auto *fullAnnouncement = std::get_if<request::announcement>(&message.message))
        parameters["whole"] = toJson(*fullAnnouncement);
    else
        parameters["beat"] = toJson(std::get<request::heartbeat>(message.message));
    const auto entry = message.entry;
    std::optional<config::generation_report> sentReport = m_generationReport();
    if (m_reportThrottle.isDue(entry, *sentReport, monotonic_clock::now()))
        parameters["config"] = toJson(*sentReport);
    else
        sentReport.reset();
    m_sender.call(entry, "announce", parameters,
                  [this, entry, sentReport](std::optional<Json::Value> reply) {
                      m_actor->post(announce_reply{entry, sentReport, std::move(reply)});
                  });
}

} // namespace zinniabarrow
