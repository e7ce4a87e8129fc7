#include "app/order_sender.h"

#include <memory>
#include <utility>

#include "jobs/message_limits.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

namespace {

// An agent answers without asking its worker, so an order without an answer by then is sent again.
constexpr milliseconds OrderTimeout{600};
constexpr milliseconds LateAnswerTimeout{5000}; // from then on no answer is awaited

} // namespace

order_sender::order_sender(const order_sender_dependencies &dependencies,
                           std::function<void()> onActionsReady)
    : m_settings(dependencies.settings)
    , m_loop(dependencies.loop)
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
    const auto sent = std::make_shared<const sent_call>(
            sent_call{worker, report.address, request.body.size(), std::move(call.orders),
                      report.agentIncarnation});
    const auto state = std::make_shared<call_state>(call_state::Open);
    m_client.call(report.address, std::move(request), LateAnswerTimeout,
                  [this, sent, state](const call_result &result) {
                      if (std::exchange(*state, call_state::Answered) == call_state::Overdue)
                          return handleLateResult(*sent, result);
                      handleResult(*sent, result);
                  });
    m_loop.runAfter(OrderTimeout, [this, sent, state] {
        if (*state != call_state::Open)
            return;
        *state = call_state::Overdue;
        handleOverdue(*sent);
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
    if (!outcomes.unanswered.empty())
        reportUnanswered(call, outcomes);
    if (!outcomes.answered.empty())
        m_onActionsReady();
}

void order_sender::handleOverdue(const sent_call &call)
{
    m_client.closeIdle(call.address);
    if (!call.orders.empty())
        reportUnanswered(call, outcomesOf(call.orders, call_failure::TimedOut));
}

// The order has been sent again meanwhile. An answer that settles nothing says less than the one
// that is still to come.
void order_sender::handleLateResult(const sent_call &call, const call_result &result)
{
    const auto outcomes = outcomesOf(call.orders, result);
    bool hasSettled = false;
    for (const auto &answer : outcomes.answered) {
        if (shouldRetry(answer.outcome))
            continue;
        hasSettled = true;
        m_metrics.count("orders_answered_late_total", nameOf(answer.outcome));
        m_jobController->orderAnswered(call.worker, answer, suspendAwareNow(),
                                       call.agentIncarnation);
    }
    if (hasSettled)
        m_onActionsReady();
}

void order_sender::reportUnanswered(const sent_call &call, const order_outcomes &outcomes)
{
    m_metrics.count("orders_unanswered_total", "agent_silent");
    m_log.writeEvent("orders_unanswered", {{"worker", call.worker},
                                           {"orders", outcomes.unanswered.size()},
                                           {"why", outcomes.reason},
                                           {"status", outcomes.status},
                                           {"bytes", call.bytes}});
    handleUnanswered(call.worker, outcomes.unanswered);
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
