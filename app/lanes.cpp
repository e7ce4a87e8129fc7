#include "app/lanes.h"

#include "base/errors.h"
#include "base/hash.h"
#include "rpc/rpc.h"
#include <fmt/core.h>

namespace zinniabarrow {

namespace {

constexpr std::size_t LaneCapacity = 4096;
constexpr std::size_t SenderThreads = 4;
constexpr duration NoTick{0};

} // namespace

platform_lane::platform_lane(duty_system &system, const socket_address &platform,
                             milliseconds timeout)
    : m_client(platform, timeout)
    , m_duty(std::make_unique<duty<job>>(
              system, LaneCapacity, [this](job &work) { work(m_client); }, NoTick, [] {}))
{ }

platform_lane::~platform_lane() = default;

bool platform_lane::run(job work)
{
    return m_duty->post(std::move(work));
}

void platform_lane::stop()
{
    m_duty->stop();
}

rpc_sender::rpc_sender(duty_system &system, milliseconds timeout, metrics &counters)
    : m_timeout(timeout)
    , m_metrics(counters)
{
    for (std::size_t index = 0; index < SenderThreads; ++index)
        m_threads.push_back(std::make_unique<duty<outgoing>>(
                system, LaneCapacity, [this](outgoing &message) { send(message); }, NoTick, [] {}));
}

rpc_sender::~rpc_sender() = default;

bool rpc_sender::call(const std::string &target, const std::string &method,
                      const Json::Value &parameters, answer done)
{
    auto &thread = *m_threads[stableHash(target) % m_threads.size()];
    if (thread.post({target, method, parameters, std::move(done)}))
        return true;
    m_metrics.count("rpc_dropped_total", method);
    return false;
}

void rpc_sender::stop()
{
    for (auto &thread : m_threads)
        thread->stop();
}

void rpc_sender::send(outgoing &message)
{
    const auto transport = [&](const std::string &text) {
        const http_request request{"POST", "/rpc", {{"Content-Type", "application/json"}}, text};
        const auto result =
                m_pools.to(message.target).call(request, monotonic_clock::now() + m_timeout);
        const auto *response = std::get_if<http_response>(&result);
        if (response == nullptr || response->status != 200)
            throw std::runtime_error("no answer from " + message.target);
        m_metrics.countControlBytes(message.method, byte_direction::Sent, response->requestBytes);
        m_metrics.countControlBytes(message.method, byte_direction::Received,
                                    receivedBytes(*response));
        return response->body;
    };
    std::optional<Json::Value> result;
    try {
        result = rpcCall(transport, message.method, message.parameters);
        m_metrics.count("rpc_sent_total", message.method);
    } catch (const rpc_failure &failure) {
        m_metrics.count("rpc_failed_total", failure.kind().empty() ? "no_answer" : failure.kind());
    }
    message.done(std::move(result));
}

} // namespace zinniabarrow
