#include "app/outbound_calls.h"

#include "base/errors.h"
#include "rpc/rpc.h"
#include <fmt/core.h>

namespace zinniabarrow {

namespace {

constexpr std::size_t LaneCapacity = 4096;
constexpr send_queue_limits SenderLimits;
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
    , m_queue(SenderLimits)
{
    const std::lock_guard lock(m_mutex); // until all of them stand
    for (std::size_t index = 0; index < SenderLimits.threads; ++index) {
        m_resting.push_back(index);
        m_threads.push_back(std::make_unique<duty_thread>(
                system, [this, index] { drain(index); }, everyPeriod(NoTick, {})));
    }
}

rpc_sender::~rpc_sender()
{
    stop();
}

bool rpc_sender::call(const std::string &target, const std::string &method,
                      const Json::Value &parameters, answer done)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped)
        return false;
    if (!m_queue.push({target, method, parameters, std::move(done)})) {
        m_metrics.count("rpc_dropped_total", method);
        return false;
    }
    wakeOne();
    return true;
}

// What waits by then is still sent, by the threads that are awake.
void rpc_sender::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    for (auto &thread : m_threads)
        thread->stop();
}

void rpc_sender::drain(std::size_t thread)
{
    while (auto message = takeOrRest(thread)) {
        const bool answered = send(*message);
        const std::lock_guard lock(m_mutex);
        m_queue.completeCall(message->target, answered);
    }
}

std::optional<rpc_call> rpc_sender::takeOrRest(std::size_t thread)
{
    const std::lock_guard lock(m_mutex);
    std::erase(m_resting, thread);
    auto message = m_queue.take();
    if (message)
        wakeOne(); // one answer may let several calls go out
    else
        m_resting.push_back(thread);
    return message;
}

void rpc_sender::wakeOne()
{
    if (m_stopped || m_resting.empty() || !m_queue.canTake())
        return;
    const auto thread = m_resting.back();
    m_resting.pop_back();
    m_threads[thread]->wake();
}

// False when no answer came.
bool rpc_sender::send(const rpc_call &message)
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
    bool answered = true;
    try {
        result = rpcCall(transport, message.method, message.parameters);
        m_metrics.count("rpc_sent_total", message.method);
    } catch (const rpc_failure &failure) {
        answered = failure.code() != RpcNoAnswer;
        m_metrics.count("rpc_failed_total", failure.kind().empty() ? "no_answer" : failure.kind());
    }
    message.done(std::move(result));
    return answered;
}

} // namespace zinniabarrow
