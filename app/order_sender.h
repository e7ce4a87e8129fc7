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
#include "jobs/order_calls.h"
#include "jobs/worker_pool.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "runtime/metrics.h"

namespace zinniabarrow {

// The parts of an entry that order_sender uses. All of them must outlive it.
struct order_sender_dependencies
{
    const job_entry_settings &settings;
    net::event_loop &loop;
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

    // Sends the orders to the worker's agent, in as many calls as MaxOrderCallBytes needs. Those
    // without an answer are reported to the controller as unanswered. A later answer still settles
    // them: if an agent answers late each time, its refusals would otherwise have no effect.
    //
    // Of a call that is answered with a status of 4xx, the halves are sent again, so that one order
    // cannot hold up the others; an order that is refused alone is reported as rejected. A call
    // without orders requests reports, see report_requests.h.
    void sendOrders(const std::string &worker, std::vector<jobs::run_order> orders);

private:
    // What is known of a call when it is answered.
    struct sent_call
    {
        std::string worker;
        std::string address;   // of its agent
        std::size_t bytes = 0; // of its body
        std::vector<jobs::run_order> orders;
        std::int64_t agentIncarnation = 0; // by the reports when the call was sent
    };
    enum class call_state { Open, Overdue, Answered };

    void sendCall(const std::string &worker, const jobs::worker_report &report,
                  jobs::order_call call);
    void handleResult(const sent_call &call, const call_result &result);
    void handleOverdue(const sent_call &call);
    // An answer after the orders were reported as unanswered.
    void handleLateResult(const sent_call &call, const call_result &result);
    void reportUnanswered(const sent_call &call, const order_outcomes &outcomes);
    // The agent did nothing and would answer the same again.
    void handleRejection(const sent_call &call, int status);
    // `status`: HTTP status of the answer; 0: the order is too large for any call.
    void rejectOrder(const std::string &worker, const jobs::run_order &order, std::size_t bytes,
                     int status);
    void handleUnanswered(const std::string &worker, const std::vector<jobs::run_order> &orders);

    const job_entry_settings &m_settings;
    net::event_loop &m_loop;
    net::http_client &m_client;
    jobs::worker_pool &m_pool;
    std::optional<jobs::job_controller> &m_jobController;
    metrics &m_metrics;
    event_log &m_log;
    std::function<void()> m_onActionsReady;
};

} // namespace zinniabarrow
