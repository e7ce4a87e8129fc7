#include "app/rpc_endpoint.h"

#include "base/errors.h"

namespace zinniabarrow {

rpc_endpoint::rpc_endpoint(metrics &counters, std::function<bool()> ready)
    : m_metrics(counters)
    , m_ready(std::move(ready))
{
    // Each reason has its counter from the start: an alarm on a rate needs the zero before the one.
    for (const auto &row : errorAnswers()) {
        m_metrics.count("refusals_total", row.name, 0);
        if (row.retryElsewhere)
            m_metrics.count("retries_total", row.name, 0);
    }
}

void rpc_endpoint::bind(const std::string &name, rpc_server::method body)
{
    m_methods.bind(name, [body = std::move(body)](const Json::Value &parameters) {
        try {
            return body(parameters);
        } catch (const error &problem) {
            throw rpc_refusal(std::string(nameOf(problem.kind())), problem.what());
        }
    });
}

std::optional<http_response> rpc_endpoint::serve(const http_request &request) const
{
    const auto path = request.path();
    if (path == "/rpc")
        return http_response{200, {}, m_methods.handle(request.body)};
    if (path == "/metrics")
        return http_response{
                200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.text()};
    if (path == "/healthz")
        return http_response{200, {}, R"({"status":"alive"})"};
    if (path == "/readyz") {
        const bool ready = m_ready();
        return http_response{ready ? 200 : 503,
                             {},
                             ready ? R"({"status":"ready"})" : R"({"status":"not ready"})"};
    }
    return std::nullopt;
}

} // namespace zinniabarrow
