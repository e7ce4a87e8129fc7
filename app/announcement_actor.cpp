#include "app/announcement_actor.h"

#include <thread>

#include "base/errors.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 1024;
constexpr milliseconds TickEvery{100};
constexpr milliseconds RepeatReport{4000}; // two may be lost before operators are told of silence

request::announcement selfOf(const config::agent_settings &settings, const process_identity &self,
                             const std::string &ownAddress)
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
    out.initialPeriod = settings.announce;
    return out;
}

} // namespace

announce_duty::announce_duty(duty_system &system, const config::agent_settings &settings,
                             const process_identity &self, const std::string &ownAddress,
                             rpc_sender &sender, std::function<request::upstream_load()> load,
                             std::function<config::generation_report()> generationReport,
                             std::function<void()> superseded)
    : m_sender(sender)
    , m_load(std::move(load))
    , m_generationReport(std::move(generationReport))
    , m_superseded(std::move(superseded))
    , m_announcer(announcerSettings(settings), selfOf(settings, self, ownAddress))
    , m_reports(RepeatReport)
{
    m_duty = std::make_unique<duty<event>>(
            system, RingCapacity, [this](event &what) { handle(what); }, TickEvery,
            [this] { tick(); });
}

announce_duty::~announce_duty() = default;

void announce_duty::setState(request::upstream_state state)
{
    while (!m_duty->post(state))
        std::this_thread::sleep_for(TickEvery);
}

void announce_duty::stop()
{
    m_duty->stop();
}

void announce_duty::handle(event &what)
{
    if (const auto *state = std::get_if<request::upstream_state>(&what)) {
        m_announcer.setState(*state);
        tick();
        return;
    }
    const auto &heard = std::get<reply_heard>(what);
    if (!heard.reply)
        return; // the announcer repeats, and turns to another entry when one stays silent
    try {
        answered(heard);
    } catch (const error &) {
        return; // the same as no reply
    }
    m_leftEverywhere = m_announcer.isLeaveComplete();
    // An agent that was replaced while it was paused must not go on beside its successor.
    if (m_announcer.isSuperseded() && !m_toldSuperseded) {
        m_toldSuperseded = true;
        m_superseded();
    }
}

void announce_duty::answered(const reply_heard &heard)
{
    const auto now = monotonic_clock::now();
    const auto reply = request::announceReplyFromJson(*heard.reply);
    m_announcer.handleReply(heard.entry, reply, now);
    if (reply.needsFullAnnouncement)
        m_reports.startAgain(heard.entry); // it was replaced, and knows no generations either
    else if (heard.told)
        m_reports.answered(heard.entry, *heard.told, now);
}

void announce_duty::tick()
{
    m_announcer.setLoad(m_load());
    for (const auto &message : m_announcer.tick(monotonic_clock::now()))
        send(message);
    m_leftEverywhere = m_announcer.isLeaveComplete();
}

void announce_duty::send(const request::announcer::outgoing_message &message)
{
    Json::Value parameters(Json::objectValue);
    if (const auto *whole = std::get_if<request::announcement>(&message.message))
        parameters["whole"] = toJson(*whole);
    else
        parameters["beat"] = toJson(std::get<request::heartbeat>(message.message));
    const auto entry = message.entry;
    std::optional<config::generation_report> told = m_generationReport();
    if (m_reports.isDue(entry, *told, monotonic_clock::now()))
        parameters["config"] = toJson(*told);
    else
        told.reset();
    m_sender.call(entry, "announce", parameters,
                  [this, entry, told](std::optional<Json::Value> reply) {
                      m_duty->post(reply_heard{entry, told, std::move(reply)});
                  });
}

} // namespace zinniabarrow
