// Tests order_sender with agents that answer over real connections.
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "app/order_sender.h"
#include "net/event_loop.h"
#include "net/http_listener.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

// An agent that refuses an order for good and repeats the refusal each time, after a delay.
class refusing_agent
{
public:
    refusing_agent(net::event_loop &loop, milliseconds delay)
        : m_loop(loop)
        , m_delay(delay)
        , m_listener(loop, {"127.0.0.1", 0}, {},
                     [this](const http_request &request, net::responder respond) {
                         m_loop.runAfter(m_delay, [text = refusalOf(request.body),
                                                   respond = std::move(respond)] {
                             respond({200, {}, text});
                         });
                     })
    { }

    std::string address() const { return toText(m_listener.address()); }

private:
    static std::string refusalOf(const std::string &body)
    {
        std::vector<order_answer> answers;
        for (const auto &order : orderBatchFrom(body).orders)
            answers.push_back({order.task, order.run, order_outcome::NoRoom, order.kind});
        return toText(answers);
    }

    net::event_loop &m_loop;
    milliseconds m_delay;
    net::http_listener m_listener;
};

// An entry that owns one job with one task, and two workers; w1 is the better choice.
class small_entry
{
public:
    explicit small_entry(milliseconds answerDelay)
        : m_agent(m_loop, answerDelay)
        , m_controller(std::in_place, owner_id{"entry", 1}, m_pool)
        , m_sender({m_settings, m_loop, m_client, m_pool, m_controller, m_metrics, m_log},
                   [this] { plan(); })
    {
        job_spec spec;
        spec.steps.resize(1);
        spec.steps[0].count = 1;
        spec.steps[0].size = {1000, 100, 0};
        queue_policy policy;
        policy.service = "tickets";
        reportWorker("w1");
        m_controller->submit("job", spec, policy, 1000, net::suspendAwareNow(), 1);
    }

    // Runs until an order for w2 is due, or for `limit`.
    bool reachesSecondWorker(milliseconds limit)
    {
        m_loop.runEvery(milliseconds(50), [this] { plan(); });
        m_loop.runAfter(limit, [this] { m_loop.stop(); });
        m_loop.run([](const std::exception &problem) { cr_expect_fail("%s", problem.what()); });
        return m_isSecondOrdered;
    }

private:
    void reportWorker(const std::string &name)
    {
        worker_report report;
        report.worker = name;
        report.address = m_agent.address();
        report.agentIncarnation = 1;
        report.epoch = 1;
        report.service = "tickets";
        report.isAccepting = true;
        report.capacity = {4000, 4000, 0};
        m_pool.update(report, net::suspendAwareNow());
    }

    void plan()
    {
        reportWorker("w1");
        if (m_hasOrdered)
            reportWorker("w2");
        m_controller->plan(net::suspendAwareNow(), 1000);
        for (auto &action : m_controller->takeActions()) {
            if (const auto *write = std::get_if<write_row>(&action)) {
                m_loop.post(
                        [this, job = write->job] { m_controller->rowWritten(job, ++m_version); });
            } else if (const auto *order = std::get_if<send_order>(&action)) {
                send(*order);
            }
        }
    }

    void send(const send_order &order)
    {
        m_hasOrdered = true;
        if (order.worker == "w1")
            return m_sender.sendOrders(order.worker, {order.order});
        m_isSecondOrdered = true;
        m_loop.stop();
    }

    net::event_loop m_loop;
    job_entry_settings m_settings;
    net::http_client m_client{m_loop};
    refusing_agent m_agent;
    metrics m_metrics;
    event_log m_log{"entry", "entry"};
    worker_pool m_pool;
    std::optional<job_controller> m_controller;
    order_sender m_sender;
    std::int64_t m_version = 0;
    bool m_hasOrdered = false;
    bool m_isSecondOrdered = false;
};

} // namespace

// Guards against a task that stands still because each refusal of its order comes too late to
// count.
Test(order_sender, a_refusal_that_is_late_each_time)
{
    constexpr milliseconds Limit{20'000};
    section("an agent refuses at once", [&] {
        small_entry entry(milliseconds(0));
        check(entry.reachesSecondWorker(Limit));
    });
    section("an agent refuses after the order is sent again", [&] {
        small_entry entry(milliseconds(1000));
        check(entry.reachesSecondWorker(Limit));
    });
}
