#include "standins/job_platform.h"

#include <map>
#include <thread>
#include <utility>

#include "base/json.h"
#include "net/http_client.h"
#include "net/http_listener.h"
#include "standins/run_history.h"
#include "standins/store_server.h"

namespace zinniabarrow::standins {

namespace {

using net::responder;

constexpr milliseconds HeartbeatInterval{200};
constexpr milliseconds HeartbeatTimeout{500};
// For how long a restarted worker waits for a poll before it announces itself.
constexpr milliseconds FirstHeartbeatLimit{2000};
constexpr milliseconds DrainTime{2000}; // that a draining worker says it has left
// Longer than an agent needs to detect that its worker is gone.
constexpr milliseconds LeaseAnswerDelay{800};

std::string workerName(std::size_t index)
{
    return "i-" + std::to_string(index);
}

} // namespace

struct job_platform::impl
{
    // Calls that a hung worker has taken.
    struct held_call
    {
        http_request request;
        responder reply;
    };

    // A worker with its listener and its agent.
    struct worker_seat
    {
        std::unique_ptr<job_worker> worker;
        socket_address address;
        std::string agent; // "ip:port"
        std::unique_ptr<net::http_listener> listener;
        std::vector<held_call> heldCalls;
        int announcementCount = 0; // heartbeats in its current incarnation
        bool awaitsPoll = false;   // it sends no heartbeat yet
    };

    explicit impl(const job_platform_options &options)
        : client(loop)
        , store(loop, options.store, history)
    {
        for (std::size_t index = 0; index < options.workers.size(); ++index)
            addWorker(options, index);
        thread = std::thread([this] {
            loop.run([this](const std::exception &failure) {
                history.recordViolation(failure.what());
            });
        });
    }

    ~impl()
    {
        loop.post([this] { loop.stop(); });
        thread.join();
    }

    void addWorker(const job_platform_options &options, std::size_t index)
    {
        auto seat = std::make_unique<worker_seat>();
        seat->worker = std::make_unique<job_worker>(
                job_worker_options{index, options.millicores, options.taskTime, options.stopTime,
                                   options.gangTimeout, options.describeTask, options.onRun,
                                   [onLapse = options.onLapse, index] { onLapse(index); }},
                history, gangs);
        seat->address = options.workers[index];
        seat->agent = toText(options.agentAddresses[index]);
        loop.runEvery(HeartbeatInterval, [this, index] {
            auto &own = *seats.at(index);
            auto &worker = *own.worker;
            worker.endDueRuns();
            if (!worker.isUnresponsive && !worker.isHung && !worker.isTerminated && !own.awaitsPoll)
                announce(own);
        });
        seats.push_back(std::move(seat));
        openListener(index);
    }

    void openListener(std::size_t index)
    {
        auto &seat = *seats.at(index);
        seat.listener = std::make_unique<net::http_listener>(
                loop, seat.address, net::listener_limits{},
                [this, &seat](http_request request, responder reply) {
                    auto &worker = *seat.worker;
                    if (worker.isUnresponsive || worker.isTerminated)
                        return;
                    if (worker.isHung)
                        seat.heldCalls.push_back({std::move(request), std::move(reply)});
                    else
                        serve(seat, request, reply);
                });
    }

    // A start is compared with the runs on all workers, so those that have ended are removed first.
    void serve(worker_seat &seat, const http_request &request, const responder &reply)
    {
        for (const auto &each : seats)
            each->worker->endDueRuns();
        reply(seat.worker->serve(request));
        if (request.path() == "/-/hold")
            seat.awaitsPoll = false;
    }

    void crashWorker(std::size_t index)
    {
        auto &seat = *seats.at(index);
        seat.worker->terminate();
        seat.listener.reset();
        seat.heldCalls.clear();
    }

    void terminateWorker(std::size_t index)
    {
        crashWorker(index);
        const auto &seat = *seats.at(index);
        http_request request;
        request.method = "POST";
        request.target = "/-/instances/" + seat.worker->id() + "/deregister";
        request.body = "{}";
        // The result is ignored: an agent that is down detects the loss by polling.
        client.call(seat.agent, std::move(request), HeartbeatTimeout,
                    [](const call_result & /*result*/) {});
    }

    // Sends a heartbeat 50 ms after the deregistration.
    void terminateBeforeAnnouncement(std::size_t index)
    {
        terminateWorker(index);
        loop.runAfter(milliseconds(50), [this, index] { announce(*seats.at(index)); });
    }

    void restartWorker(std::size_t index, restart_notice notice)
    {
        auto &seat = *seats.at(index);
        seat.worker->restart();
        seat.worker->announcesStart = notice == restart_notice::ByPollFirst;
        seat.announcementCount = 0;
        seat.awaitsPoll = notice == restart_notice::ByPollFirst;
        if (seat.awaitsPoll)
            loop.runAfter(FirstHeartbeatLimit, [&seat] { seat.awaitsPoll = false; });
        openListener(index);
    }

    void setWorkerHung(std::size_t index, bool isHung)
    {
        auto &seat = *seats.at(index);
        seat.worker->isHung = isHung;
        if (isHung)
            return;
        for (const auto &call : std::exchange(seat.heldCalls, {}))
            serve(seat, call.request, call.reply);
    }

    void announce(worker_seat &seat)
    {
        const auto &worker = *seat.worker;
        Json::Value body(Json::objectValue);
        body["service"] = "tickets";
        body["address"] = "127.0.0.1:1";
        body["zone"] = "kartli-a";
        body["state"] = worker.isDraining ? "draining" : "ready";
        if (worker.isDraining)
            body["remaining-ms"] = Json::Int64(DrainTime.count());
        if (worker.announcesStart)
            body["born"] = Json::Int64(worker.startTimeMs());
        body["seq"] = ++seat.announcementCount;
        body["capacity"]["cpu"] = Json::Int64(worker.millicores());
        body["capacity"]["mem-mb"] = 64'000;
        body["labels"].append("a");
        body["labels"].append("r1");
        http_request request;
        request.method = "POST";
        request.target = "/-/instances/" + worker.id() + "/heartbeat";
        request.body = compactJson(body);
        // The result is ignored: an agent that is down receives the next heartbeat.
        client.call(seat.agent, std::move(request), HeartbeatTimeout,
                    [](const call_result & /*result*/) {});
    }

    net::event_loop loop;
    net::http_client client;
    run_history history;
    gang_board gangs;
    store_server store;
    std::vector<std::unique_ptr<worker_seat>> seats;
    std::thread thread;
};

job_platform::job_platform(const job_platform_options &options)
    : m_impl(std::make_unique<impl>(options))
{ }

job_platform::~job_platform() = default;

void job_platform::loseWriteAnswers(int writeCount)
{
    m_impl->loop.post([this, writeCount] { m_impl->store.loseWriteAnswers(writeCount); });
}

void job_platform::loseStoreAnswers(int interval)
{
    m_impl->loop.post([this, interval] { m_impl->store.loseAnswers(interval); });
}

void job_platform::setStoreUnavailable(bool isUnavailable)
{
    m_impl->loop.post([this, isUnavailable] { m_impl->store.setUnavailable(isUnavailable); });
}

void job_platform::setStoreSilent(bool isSilent)
{
    m_impl->loop.post([this, isSilent] { m_impl->store.setSilent(isSilent); });
}

void job_platform::setStoreDelay(milliseconds delay)
{
    m_impl->loop.post([this, delay] { m_impl->store.setDelay(delay); });
}

void job_platform::makeUnresponsive(std::size_t worker)
{
    m_impl->loop.post([this, worker] { m_impl->seats.at(worker)->worker->isUnresponsive = true; });
}

void job_platform::terminateWorker(std::size_t worker)
{
    m_impl->loop.post([this, worker] { m_impl->terminateWorker(worker); });
}

void job_platform::crashWorker(std::size_t worker)
{
    m_impl->loop.post([this, worker] { m_impl->crashWorker(worker); });
}

void job_platform::setWorkerHung(std::size_t worker, bool isHung)
{
    m_impl->loop.post([this, worker, isHung] { m_impl->setWorkerHung(worker, isHung); });
}

void job_platform::drainWorker(std::size_t worker)
{
    m_impl->loop.post([this, worker] { m_impl->seats.at(worker)->worker->isDraining = true; });
}

void job_platform::restartWorker(std::size_t worker, restart_notice notice)
{
    m_impl->loop.post([this, worker, notice] { m_impl->restartWorker(worker, notice); });
}

void job_platform::terminateBeforeAnnouncement(std::size_t worker)
{
    m_impl->loop.post([this, worker] { m_impl->terminateBeforeAnnouncement(worker); });
}

void job_platform::terminateAtLeaseWrite(std::size_t worker, const std::string &lease)
{
    m_impl->loop.post([this, worker, lease] {
        m_impl->store.atLeaseWrite(lease, LeaseAnswerDelay,
                                   [this, worker] { m_impl->terminateWorker(worker); });
    });
}

bool job_platform::isCancelStored(const std::string &job) const
{
    return m_impl->history.isCancelled(job);
}

std::int64_t job_platform::leaseEpoch(const std::string &lease) const
{
    return m_impl->history.epochOf(lease);
}

void job_platform::setTaskTime(milliseconds taskTime)
{
    m_impl->loop.post([this, taskTime] {
        for (auto &seat : m_impl->seats)
            seat->worker->setTaskTime(taskTime);
    });
}

int job_platform::startCount() const
{
    return m_impl->history.startedRuns();
}

int job_platform::countRunsOn(std::size_t worker) const
{
    return m_impl->history.countRunsOn(workerName(worker));
}

std::size_t job_platform::busiestWorker() const
{
    std::size_t busiest = 0;
    for (std::size_t index = 0; index < m_impl->seats.size(); ++index) {
        if (countRunsOn(index) > countRunsOn(busiest))
            busiest = index;
    }
    return busiest;
}

int job_platform::doneCount() const
{
    return m_impl->history.doneRuns();
}

std::vector<std::string> job_platform::violations() const
{
    return m_impl->history.violations();
}

} // namespace zinniabarrow::standins
