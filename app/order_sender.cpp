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
    http_request request;
    request.method = "POST";
    request.target = "/v1/orders";
    request.body = toText(order_batch{m_settings.id, toText(m_settings.internalAddress), orders});
    const auto bytes = request.body.size();
    m_client.call(
            view->lastReport.address, std::move(request), OrderTimeout,
            [this, worker, bytes, orders = std::move(orders),
             agentIncarnation = view->lastReport.agentIncarnation](const call_result &result) {
                handleAnswers(worker, outcomesOf(orders, result), bytes, agentIncarnation);
            });
}

void order_sender::handleAnswers(const std::string &worker, const order_outcomes &outcomes,
                                 std::size_t bytes, std::int64_t agentIncarnation)
{
    for (const auto &answer : outcomes.answered) {
        m_metrics.count("orders_total", nameOf(answer.outcome));
        m_jobController->orderAnswered(worker, answer, suspendAwareNow(), agentIncarnation);
    }
    if (!outcomes.unanswered.empty()) {
        m_metrics.count("orders_unanswered_total", "agent_silent");
        m_log.writeEvent("orders_unanswered", {{"worker", worker},
                                               {"orders", outcomes.unanswered.size()},
                                               {"why", outcomes.reason},
                                               {"status", outcomes.status},
                                               {"bytes", bytes}});
        handleUnanswered(worker, outcomes.unanswered);
    }
    if (!outcomes.answered.empty())
        m_onActionsReady();
}

void order_sender::handleUnanswered(const std::string &worker, const std::vector<run_order> &orders)
{
    for (const auto &order : orders)
        m_jobController->orderUnanswered(worker, order.task, order.run, suspendAwareNow());
}

} // namespace zinniabarrow
