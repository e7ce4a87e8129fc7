#include "app/outbound_calls.h"

#include "base/errors.h"
#include "rpc/rpc.h"
#include <fmt/core.h>

namespace zinniabarrow {

namespace {

constexpr std::size_t CallCapacity = 4096;
constexpr send_queue_limits SenderLimits;
constexpr duration NoTick{0};

} // namespace

platform_executor::platform_executor(actor_runtime &system, const socket_address &platform,
                                     milliseconds timeout)
    : m_client(platform, timeout)
    , m_actor(std::make_unique<event_actor<platform_call>>(
              system, CallCapacity, [this](platform_call &platformCall) { platformCall(m_client); },
              NoTick, [] {}))
{
    m_actor->start();
}

platform_executor::~platform_executor() = default;

bool platform_executor::enqueue(platform_call platformCall)
{
    return m_actor->post(std::move(platformCall));
}

void platform_executor::stop()
{
    m_actor->stop();
}

rpc_sender::rpc_sender(actor_runtime &system, milliseconds timeout, metrics &counters)
    : m_timeout(timeout)
    , m_metrics(counters)
    , m_queue(SenderLimits)
{
    const std::lock_guard lock(m_mutex); // no thread takes a call before all threads exist
    for (std::size_t index = 0; index < SenderLimits.threads; ++index) {
        m_idleThreads.push_back(index);
        m_threads.push_back(std::make_unique<actor_thread>(
                system, [this, index] { sendQueuedCalls(index); }, periodicTicks(NoTick, {})));
        m_threads.back()->start();
    }
}

rpc_sender::~rpc_sender()
{
    stop();
}

bool rpc_sender::call(const std::string &target, const std::string &method,
                      const Json::Value &parameters, answer_callback onAnswer)
{
    const std::lock_guard lock(m_mutex);
    if (m_isStopped)
        return false;
    if (!m_queue.push({target, method, parameters, std::move(onAnswer)})) {
        m_metrics.count("rpc_dropped_total", method);
        return false;
    }
    wakeIdleThread();
    return true;
}

// Calls that are queued by now are still sent, by the threads that are awake.
void rpc_sender::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    for (auto &thread : m_threads)
        thread->stop();
}

void rpc_sender::sendQueuedCalls(std::size_t thread)
{
    while (auto message = takeOrGoIdle(thread)) {
        const bool answered = send(*message);
        const std::lock_guard lock(m_mutex);
        m_queue.completeCall(message->target, answered);
    }
}

std::optional<rpc_call> rpc_sender::takeOrGoIdle(std::size_t thread)
{
    const std::lock_guard lock(m_mutex);
    std::erase(m_idleThreads, thread);
    auto message = m_queue.take();
    if (message)
        wakeIdleThread(); // one answer may allow several queued calls to be sent
    else
        m_idleThreads.push_back(thread);
    return message;
}

void rpc_sender::wakeIdleThread()
{
    if (m_isStopped || m_idleThreads.empty() || !m_queue.canTake())
        return;
    const auto thread = m_idleThreads.back();
    m_idleThreads.pop_back();
    m_threads[thread]->wake();
}

// Returns false when the target did not answer.
bool rpc_sender::send(const rpc_call &message)
{
    const auto transport = [&](const std::string &text) {
        const http_request request{"POST", "/rpc", {{"Content-Type", "application/json"}}, text};
        const auto result =
                m_pools.poolFor(message.target).call(request, monotonic_clock::now() + m_timeout);
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
