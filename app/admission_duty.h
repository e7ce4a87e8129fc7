// The agent's admission duty: which requests reach the upstream, when, and what comes back.
#pragma once

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <variant>

#include "config/settings.h"
#include "request/admission.h"
#include "request/announcement.h"
#include "runtime/duty.h"
#include "runtime/http.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

class admission_duty
{
public:
    // `unreachable` is called when the upstream refused a connection.
    admission_duty(duty_system &system, const config::agent_settings &settings, metrics &counters,
                   std::function<void()> unreachable);
    ~admission_duty();

    // Runs on the HTTP thread of an entry's connection until the request's end.
    http_response serve(const http_request &request);
    // The entry's caller is gone: a request that waits must not start.
    void cancel(const std::string &key);

    void drain();
    bool drained() const { return m_running == 0 && m_waiting == 0 && m_inside == 0; }
    request::upstream_load load() const;
    void stop();

private:
    using verdict = std::variant<request::admission::start, request::admission::refuse>;
    struct arrival
    {
        request::admission::arrived event;
        std::shared_ptr<std::promise<verdict>> decided;
    };
    using event = std::variant<arrival, request::admission::finished, request::admission::cancelled,
                               request::admission::drain_started>;

    http_response admitAndRun(const http_request &request, const std::string &key,
                              time_point deadline);
    http_response runAtUpstream(const http_request &request, time_point deadline);
    http_response refuse(const request::admission::refuse &refusal);
    void handle(event &what);
    void tick();
    void feed(const request::admission::event &what);

    const config::agent_settings m_settings;
    metrics &m_metrics;
    std::function<void()> m_unreachable;
    http_pool m_upstream;
    std::atomic<int> m_running{0};
    std::atomic<int> m_waiting{0};
    std::atomic<int> m_inside{0}; // requests between their arrival and their answer
    std::atomic<std::int64_t> m_latencyMicroseconds{0};

    // Touched by the duty's thread alone.
    request::admission m_admission;
    std::map<std::string, std::shared_ptr<std::promise<verdict>>> m_waitingFor; // by request key

    std::unique_ptr<duty<event>> m_duty; // last: its thread uses all of the above
};

} // namespace zinniabarrow
