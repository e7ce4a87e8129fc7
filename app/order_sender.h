// Sends the orders of an entry's job controller to the agents of workers, and reports their
// outcomes back to the controller.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "app/job_settings.h"
#include "app/order_outcomes.h"
#include "base/event_log.h"
#include "jobs/job_controller.h"
#include "jobs/worker_pool.h"
#include "net/http_client.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

// The parts of an entry that order_sender uses. All of them must outlive it.
struct order_sender_dependencies
{
    const job_entry_settings &settings;
    net::http_client &client;
    jobs::worker_pool &pool;
    std::optional<jobs::job_controller> &jobController; // that issues the orders
    metrics &counters;
    event_log &log;
};

class order_sender
{
public:
    // `onActionsReady` is called when the controller has actions to execute.
    order_sender(const order_sender_dependencies &dependencies,
                 std::function<void()> onActionsReady);

    // Sends the orders in one call to the worker's agent. Those without an answer are reported to
    // the controller as unanswered. A call without orders requests reports, see
    // report_requests.h.
    void sendOrders(const std::string &worker, std::vector<jobs::run_order> orders);

private:
    // `bytes`: size of the call's body.
    void handleAnswers(const std::string &worker, const order_outcomes &outcomes,
                       std::size_t bytes, std::int64_t agentIncarnation);
    void handleUnanswered(const std::string &worker, const std::vector<jobs::run_order> &orders);

    const job_entry_settings &m_settings;
    net::http_client &m_client;
    jobs::worker_pool &m_pool;
    std::optional<jobs::job_controller> &m_jobController;
    metrics &m_metrics;
    event_log &m_log;
    std::function<void()> m_onActionsReady;
};

} // namespace zinniabarrow
