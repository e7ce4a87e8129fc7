#include "app/admission_duty.h"

#include <cstdlib>
#include <strings.h>

#include "app/answers.h"
#include "base/errors.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 8192;
constexpr milliseconds TickEvery{5};

request::admission_settings admissionSettings(const config::agent_settings &settings)
{
    request::admission_settings out;
    out.slots = static_cast<int>(settings.upstream.slots);
    out.connections = static_cast<int>(settings.upstream.connections);
    out.queueLimit = static_cast<int>(settings.queueLength);
    return out;
}

http_pool_limits upstreamLimits(const config::agent_settings &settings)
{
    http_pool_limits limits;
    limits.idleConnections = settings.upstream.slots;
    return limits;
}

http_request requestForUpstream(const http_request &from, const std::string &id)
{
    http_request out;
    out.method = from.method;
    out.target = from.target;
    out.body = from.body;
    for (const auto &[name, value] : from.headers) {
        if (!isReservedHeader(name))
            out.headers[name] = value;
    }
    out.headers[RequestIdHeader] = id;
    return out;
}

error_kind kindOf(call_failure failure)
{
    switch (failure) {
    case call_failure::NotConnected:
        return error_kind::UpstreamUnreachable;
    case call_failure::Late:
        return error_kind::AnswerLate;
    case call_failure::TooLarge:
        return error_kind::AnswerTooLarge;
    case call_failure::Cut:
    case call_failure::Unprovable:
        break;
    }
    return error_kind::AnswerCut;
}

} // namespace

admission_duty::admission_duty(duty_system &system, const config::agent_settings &settings,
                               metrics &counters, std::function<void()> unreachable)
    : m_settings(settings)
    , m_metrics(counters)
    , m_unreachable(std::move(unreachable))
    , m_upstream({settings.upstream.address.address, settings.upstream.address.port},
                 upstreamLimits(settings))
    , m_admission(admissionSettings(settings))
{
    m_duty = std::make_unique<duty<event>>(
            system, RingCapacity, [this](event &what) { handle(what); }, TickEvery,
            [this] { tick(); });
}

admission_duty::~admission_duty() = default;

// --- On HTTP threads ----------------------------------------------------------------------------

http_response admission_duty::serve(const http_request &request)
{
    const auto id = request.header(RequestIdHeader);
    const auto key = id + "/" + request.header(AttemptHeader);
    const auto remaining = std::atoll(request.header(DeadlineHeader).c_str());
    ++m_inside;
    http_response response;
    if (id.empty() || remaining <= 0)
        response = refusalAnswer(id.empty() ? error_kind::BadRequest : error_kind::DeadlinePassed);
    else
        response = admitAndRun(request, key, monotonic_clock::now() + milliseconds(remaining));
    response.headers[RequestIdHeader] = id;
    const auto now = load();
    response.headers[LoadHeader] = std::to_string(now.inFlight) + "," + std::to_string(now.queued);
    --m_inside;
    return response;
}

http_response admission_duty::admitAndRun(const http_request &request, const std::string &key,
                                          time_point deadline)
{
    auto decided = std::make_shared<std::promise<verdict>>();
    auto decision = decided->get_future();
    arrival arriving{{key, request.header(ServiceHeader), request.header(TeamHeader), 0, deadline},
                     decided};
    if (!m_duty->post(std::move(arriving)))
        return refuse(
                {key, error_kind::Overloaded, answerFor(error_kind::Overloaded).comeBackAfter});
    const auto chosen = decision.get();
    if (const auto *refusal = std::get_if<request::admission::refuse>(&chosen))
        return refuse(*refusal);
    const auto startedAt = monotonic_clock::now();
    // A process that was paused checks again right before the act: the deadline may be over.
    http_response response = startedAt < deadline ? runAtUpstream(request, deadline)
                                                  : refusalAnswer(error_kind::DeadlinePassed);
    // A slot that is never given back would be lost: the ring is sized for every connection.
    const auto took = monotonic_clock::now() - startedAt;
    while (!m_duty->post(request::admission::finished{key, took}))
        m_metrics.count("ring_full_total", "finished");
    return response;
}

http_response admission_duty::runAtUpstream(const http_request &request, time_point deadline)
{
    const auto id = request.header(RequestIdHeader);
    const auto result = m_upstream.call(requestForUpstream(request, id), deadline);
    if (const auto *failure = std::get_if<call_failure>(&result)) {
        const auto kind = kindOf(*failure);
        m_metrics.count("upstream_failures_total", nameOf(kind));
        if (kind == error_kind::UpstreamUnreachable)
            m_unreachable();
        return refusalAnswer(kind);
    }
    http_response response = std::get<http_response>(result);
    std::erase_if(response.headers,
                  [](const auto &entry) { return isReservedHeader(entry.first); });
    return response;
}

http_response admission_duty::refuse(const request::admission::refuse &refusal)
{
    m_metrics.count("refusals_total", nameOf(refusal.kind));
    auto response = refusalAnswer(refusal.kind, executed::No, refusal.retryAfter);
    response.headers["Zb-Retry-After-Ms"] = std::to_string(refusal.retryAfter.count());
    return response;
}

void admission_duty::cancel(const std::string &key)
{
    m_duty->post(request::admission::cancelled{key});
}

void admission_duty::drain()
{
    while (!m_duty->post(request::admission::drain_started{}))
        std::this_thread::sleep_for(TickEvery);
}

request::upstream_load admission_duty::load() const
{
    request::upstream_load load;
    load.inFlight = m_running;
    load.queued = m_waiting;
    load.latency = duration(m_latencyMicroseconds);
    return load;
}

void admission_duty::stop()
{
    m_duty->stop();
}

// --- On the duty's thread -----------------------------------------------------------------------

void admission_duty::handle(event &what)
{
    if (auto *arriving = std::get_if<arrival>(&what)) {
        // The same attempt twice (a doubled message) must not replace the one that waits.
        if (!m_waitingFor.emplace(arriving->event.id, arriving->decided).second) {
            arriving->decided->set_value(request::admission::refuse{
                    arriving->event.id, error_kind::Conflict, milliseconds(0)});
            return;
        }
        feed(arriving->event);
    } else if (const auto *finished = std::get_if<request::admission::finished>(&what)) {
        feed(*finished);
    } else if (const auto *cancelled = std::get_if<request::admission::cancelled>(&what)) {
        feed(*cancelled);
        const auto waiting = m_waitingFor.find(cancelled->id);
        if (waiting != m_waitingFor.end()) {
            waiting->second->set_value(request::admission::refuse{
                    cancelled->id, error_kind::DeadlinePassed, milliseconds(0)});
            m_waitingFor.erase(waiting);
        }
    } else {
        feed(request::admission::drain_started{});
    }
}

void admission_duty::tick()
{
    feed(request::admission::tick{});
}

void admission_duty::feed(const request::admission::event &what)
{
    for (const auto &action : m_admission.handle(what, monotonic_clock::now())) {
        const auto &id =
                std::visit([](const auto &each) -> const std::string & { return each.id; }, action);
        const auto waiting = m_waitingFor.find(id);
        if (waiting == m_waitingFor.end())
            continue;
        waiting->second->set_value(action);
        m_waitingFor.erase(waiting);
    }
    m_running = m_admission.running();
    m_waiting = m_admission.waiting();
    m_latencyMicroseconds = m_admission.serviceTime(m_settings.upstream.service).count();
}

} // namespace zinniabarrow
