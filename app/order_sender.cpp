#include "app/order_sender.h"

#include <utility>

#include "jobs/message_limits.h"
#include "net/event_loop.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

namespace {

constexpr milliseconds OrderTimeout{600}; // an agent answers without asking its worker

} // namespace

order_sender::order_sender(const order_sender_dependencies &dependencies,
                           std::function<void()> onActionsReady)
    : m_settings(dependencies.settings)
    , m_client(dependencies.client)
    , m_pool(dependencies.pool)
    , m_jobController(dependencies.jobController)
    , m_metrics(dependencies.counters)
    , m_log(dependencies.log)
    , m_onActionsReady(std::move(onActionsReady))
{ }

void order_sender::sendOrders(const std::string &worker, std::vector<run_order> orders)
{
    const auto *view = m_pool.find(worker);
    if (view == nullptr) // no report since the start of this entry; agents report every second
        return handleUnanswered(worker, orders);
    const auto &report = view->lastReport;
    auto divided = makeOrderCalls({m_settings.id, toText(m_settings.advertisedAddress),
                                   std::move(orders), report.takesSharedPayloads},
                                  MaxOrderCallBytes);
    for (const auto &call : divided.tooLarge)
        rejectOrder(worker, call.orders.front(), call.text.size(), 0);
    for (auto &call : divided.calls)
        sendCall(worker, report, std::move(call));
}

void order_sender::sendCall(const std::string &worker, const worker_report &report, order_call call)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/orders";
    request.body = std::move(call.text);
    sent_call sent{worker, request.body.size(), std::move(call.orders), report.agentIncarnation};
    m_client.call(report.address, std::move(request), OrderTimeout,
                  [this, sent = std::move(sent)](const call_result &result) {
                      handleResult(sent, result);
                  });
}

void order_sender::handleResult(const sent_call &call, const call_result &result)
{
    const auto outcomes = outcomesOf(call.orders, result);
    if (isRejection(outcomes.status))
        return handleRejection(call, outcomes.status);
    for (const auto &answer : outcomes.answered) {
        m_metrics.count("orders_total", nameOf(answer.outcome));
        m_jobController->orderAnswered(call.worker, answer, suspendAwareNow(),
                                       call.agentIncarnation);
    }
    if (!outcomes.unanswered.empty()) {
        m_metrics.count("orders_unanswered_total", "agent_silent");
        m_log.writeEvent("orders_unanswered", {{"worker", call.worker},
                                               {"orders", outcomes.unanswered.size()},
                                               {"why", outcomes.reason},
                                               {"status", outcomes.status},
                                               {"bytes", call.bytes}});
        handleUnanswered(call.worker, outcomes.unanswered);
    }
    if (!outcomes.answered.empty())
        m_onActionsReady();
}

void order_sender::handleRejection(const sent_call &call, int status)
{
    if (call.orders.size() == 1)
        return rejectOrder(call.worker, call.orders.front(), call.bytes, status);
    for (auto &half : halvesOf(call.orders))
        if (!half.empty())
            sendOrders(call.worker, std::move(half));
}

void order_sender::rejectOrder(const std::string &worker, const run_order &order, std::size_t bytes,
                               int status)
{
    m_metrics.count("orders_rejected_total", status == 0 ? "too_large" : std::to_string(status));
    m_log.writeEvent("order_rejected", {{"worker", worker},
                                        {"task", toText(order.task)},
                                        {"run", order.run},
                                        {"status", status},
                                        {"bytes", bytes}});
    m_jobController->orderRejected(worker, order, suspendAwareNow());
    m_onActionsReady();
}

void order_sender::handleUnanswered(const std::string &worker, const std::vector<run_order> &orders)
{
    for (const auto &order : orders)
        m_jobController->orderUnanswered(worker, order.task, order.run, suspendAwareNow());
}

} // namespace zinniabarrow
