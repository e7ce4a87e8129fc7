#include "app/order_sender.h"

#include <utility>

#include "net/event_loop.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

namespace {

constexpr milliseconds OrderTimeout{600}; // an agent answers without asking its worker

} // namespace

order_sender::order_sender(const order_sender_parts &parts, std::function<void()> changed)
    : m_settings(parts.settings)
    , m_caller(parts.caller)
    , m_pool(parts.pool)
    , m_book(parts.book)
    , m_metrics(parts.numbers)
    , m_log(parts.log)
    , m_changed(std::move(changed))
{ }

void order_sender::sendOrders(const std::string &worker, std::vector<run_order> orders)
{
    const auto *view = m_pool.find(worker);
    if (view == nullptr) // not heard of since the start; its agent reports each second
        return ordersUnanswered(worker, orders);
    http_request request;
    request.method = "POST";
    request.target = "/v1/orders";
    request.body = toText(order_batch{m_settings.id, toText(m_settings.internal), orders});
    m_caller.call(view->lastReport.address, std::move(request), OrderTimeout,
                  [this, worker, orders = std::move(orders),
                   agentLife = view->lastReport.agentIncarnation](const call_result &result) {
                      ordersAnswered(worker, outcomesOf(orders, result), agentLife);
                  });
}

void order_sender::ordersAnswered(const std::string &worker, const order_outcomes &outcomes,
                                  std::int64_t agentLife)
{
    for (const auto &one : outcomes.answered) {
        m_metrics.count("orders_total", nameOf(one.outcome));
        m_book->orderAnswered(worker, one, suspendAwareNow(), agentLife);
    }
    if (!outcomes.unanswered.empty()) {
        m_metrics.count("orders_unanswered_total", "agent_silent");
        m_log.note("orders_unanswered", {{"worker", worker},
                                         {"orders", outcomes.unanswered.size()},
                                         {"why", outcomes.why}});
        ordersUnanswered(worker, outcomes.unanswered);
    }
    if (!outcomes.answered.empty())
        m_changed();
}

void order_sender::ordersUnanswered(const std::string &worker, const std::vector<run_order> &orders)
{
    for (const auto &order : orders)
        m_book->orderUnanswered(worker, order.task, order.run, suspendAwareNow());
}

} // namespace zinniabarrow
