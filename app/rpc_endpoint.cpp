#include "app/rpc_endpoint.h"

#include "base/errors.h"

namespace zinniabarrow {

namespace {

// Method named by the call on this thread; "broken" for a body that is not a valid call.
thread_local std::string calledMethod;

} // namespace

rpc_endpoint::rpc_endpoint(metrics &counters, std::function<bool()> ready)
    : m_metrics(counters)
    , m_isReady(std::move(ready))
{
    // Every reason has its counter from the start, because an alarm on a rate needs the zero before
    // the first increment.
    for (const auto &row : errorAnswers()) {
        m_metrics.count("refusals_total", row.name, 0);
        if (row.retryElsewhere)
            m_metrics.count("retries_total", row.name, 0);
    }
}

void rpc_endpoint::bind(const std::string &name, rpc_server::method body)
{
    m_methods.bind(name, [name, body = std::move(body)](const Json::Value &parameters) {
        calledMethod = name;
        try {
            return body(parameters);
        } catch (const error &problem) {
            throw rpc_refusal(std::string(nameOf(problem.kind())), problem.what());
        }
    });
}

http_response rpc_endpoint::answerCall(const http_request &request) const
{
    calledMethod = "broken";
    http_response answer{200, {}, m_methods.handle(request.body)};
    m_metrics.countControlBytes(calledMethod, byte_direction::Received, receivedBytes(request));
    m_metrics.countControlBytes(calledMethod, byte_direction::Sent, sentBytes(answer));
    return answer;
}

std::optional<http_response> rpc_endpoint::serve(const http_request &request) const
{
    const auto path = request.path();
    if (path == "/rpc")
        return answerCall(request);
    if (path == "/metrics")
        return http_response{
                200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.text()};
    if (path == "/healthz")
        return http_response{200, {}, R"({"status":"alive"})"};
    if (path == "/readyz") {
        const bool ready = m_isReady();
        return http_response{ready ? 200 : 503,
                             {},
                             ready ? R"({"status":"ready"})" : R"({"status":"not ready"})"};
    }
    return std::nullopt;
}

} // namespace zinniabarrow
