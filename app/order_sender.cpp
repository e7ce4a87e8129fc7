#include "app/order_sender.h"

#include <utility>

#include "net/event_loop.h"

namespace zinniabarrow {

using namespace jobs;
using net::suspendAwareNow;

namespace {

constexpr milliseconds OrderTimeout{600}; // an agent answers without asking its worker

} // namespace

order_sender::order_sender(const order_sender_dependencies &dependencies,
                           std::function<void()> bookChanged)
    : m_settings(dependencies.settings)
    , m_caller(dependencies.caller)
    , m_pool(dependencies.pool)
    , m_book(dependencies.book)
    , m_metrics(dependencies.counters)
    , m_log(dependencies.log)
    , m_bookChanged(std::move(bookChanged))
{ }

void order_sender::sendOrders(const std::string &worker, std::vector<run_order> orders)
{
    const auto *view = m_pool.find(worker);
    if (view == nullptr) // not heard of since the start; its agent reports each second
        return handleUnanswered(worker, orders);
    http_request request;
    request.method = "POST";
    request.target = "/v1/orders";
    request.body = toText(order_batch{m_settings.id, toText(m_settings.internalAddress), orders});
    m_caller.call(
            view->lastReport.address, std::move(request), OrderTimeout,
            [this, worker, orders = std::move(orders),
             agentIncarnation = view->lastReport.agentIncarnation](const call_result &result) {
                handleAnswers(worker, outcomesOf(orders, result), agentIncarnation);
            });
}

void order_sender::handleAnswers(const std::string &worker, const order_outcomes &outcomes,
                                 std::int64_t agentIncarnation)
{
    for (const auto &one : outcomes.answered) {
        m_metrics.count("orders_total", nameOf(one.outcome));
        m_book->orderAnswered(worker, one, suspendAwareNow(), agentIncarnation);
    }
    if (!outcomes.unanswered.empty()) {
        m_metrics.count("orders_unanswered_total", "agent_silent");
        m_log.note("orders_unanswered", {{"worker", worker},
                                         {"orders", outcomes.unanswered.size()},
                                         {"why", outcomes.reason}});
        handleUnanswered(worker, outcomes.unanswered);
    }
    if (!outcomes.answered.empty())
        m_bookChanged();
}

void order_sender::handleUnanswered(const std::string &worker, const std::vector<run_order> &orders)
{
    for (const auto &order : orders)
        m_book->orderUnanswered(worker, order.task, order.run, suspendAwareNow());
}

} // namespace zinniabarrow
