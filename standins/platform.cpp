// Stand-in of the platform: memory_platform behind HTTP, with rate limits and injected faults.
#include <atomic>
#include <mutex>
#include <thread>

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"
#include "platform/memory_platform.h"
#include "platform/platform_json.h"
#include "standins/standin.h"

namespace zinniabarrow::standins {

namespace {

http_response jsonResponse(int status, const Json::Value &body)
{
    return {status, {}, compactJson(body)};
}

http_response writeResponse(const write_result &result)
{
    return jsonResponse(result.outcome == write_outcome::Applied ? 200 : 409, toJson(result));
}

std::optional<std::uint64_t> expectedVersion(const http_request &request)
{
    const auto text = request.header("If-Version");
    if (text.empty())
        return std::nullopt;
    return std::strtoull(text.c_str(), nullptr, 10);
}

// A rate limit: an amount that may be taken and is refilled every second.
class rate_budget
{
public:
    explicit rate_budget(unsigned perSecond)
        : m_perSecond(perSecond)
    { }

    bool tryTake(std::size_t amount, time_point now)
    {
        if (now >= m_refillAt) {
            m_remaining = m_perSecond;
            m_refillAt = now + seconds(1);
        }
        // A transaction larger than the budget of a second passes if nothing else was charged.
        if (amount > m_remaining && m_remaining < m_perSecond)
            return false;
        m_remaining -= std::min<std::size_t>(amount, m_remaining);
        return true;
    }

private:
    std::size_t m_perSecond;
    std::size_t m_remaining = 0;
    time_point m_refillAt{};
};

class platform_standin : public standin
{
public:
    explicit platform_standin(const platform_options &options)
        : m_writeBudget(options.writesPerSecond)
        , m_readBudget(options.readsPerSecond)
        , m_server(options.address, {512, 16 * 1024 * 1024},
                   [this](const http_request &request) { return serve(request); })
    {
        m_server.start();
    }

    socket_address address() const override { return m_server.address(); }

private:
    http_response serve(const http_request &request)
    {
        const auto path = request.path();
        if (path == "/fault")
            return setFault(request);
        if (path == "/stats")
            return serveStats();
        m_pauseGate.waitWhilePaused();
        if (m_addedDelayMs > 0)
            std::this_thread::sleep_for(milliseconds(m_addedDelayMs));
        if (m_isDown)
            return jsonResponse(503, Json::Value(Json::objectValue));
        if (path == "/table/commit")
            return serveCommit(request);
        if (path == "/table/read")
            return serveRead(request);
        if (path.rfind("/objects", 0) == 0)
            return serveObject(request, path);
        return jsonResponse(404, Json::Value(Json::objectValue));
    }

    http_response setFault(const http_request &request)
    {
        const auto fault = parseJson(request.body);
        if (fault.isMember("down"))
            m_isDown = boolMember(fault, "down");
        if (fault.isMember("pause_ms"))
            m_pauseGate.pauseFor(milliseconds(integerMember(fault, "pause_ms")));
        if (fault.isMember("slow_ms"))
            m_addedDelayMs = integerMember(fault, "slow_ms");
        if (fault.isMember("lose_answers"))
            m_answersToLose = integerMember(fault, "lose_answers");
        return jsonResponse(200, fault);
    }

    http_response serveStats()
    {
        const std::lock_guard lock(m_mutex);
        return jsonResponse(200, m_stats);
    }

    // Adds `amount` to the counter in /stats, and charges it to the budget. False if the rate is
    // exceeded; the counter includes such refused amounts.
    bool tryCharge(rate_budget &budget, std::size_t amount, const char *counter)
    {
        m_stats[counter] = m_stats[counter].asUInt64() + amount;
        return budget.tryTake(amount, monotonic_clock::now());
    }

    // Drops the answer if a fault asks for it; the write stays applied. The client gets a 500,
    // which does not tell the outcome.
    http_response answerUnlessLost(const write_result &result)
    {
        long answersLeft = m_answersToLose;
        while (answersLeft > 0
               && !m_answersToLose.compare_exchange_weak(answersLeft, answersLeft - 1)) { }
        if (answersLeft > 0)
            return {500, {}, ""};
        return writeResponse(result);
    }

    http_response serveCommit(const http_request &request)
    {
        const auto transaction = tableTransactionFromJson(parseJson(request.body));
        write_result result;
        {
            const std::lock_guard lock(m_mutex);
            tryCharge(m_readBudget, 0, "commits");
            m_stats["commits"] = m_stats["commits"].asUInt64() + 1;
            if (!tryCharge(m_writeBudget, transaction.writes.size(), "rows_written"))
                return jsonResponse(429, Json::Value(Json::objectValue));
            result = m_platform.commit(transaction);
        }
        return answerUnlessLost(result);
    }

    http_response serveRead(const http_request &request)
    {
        const auto requestBody = parseJson(request.body);
        const std::lock_guard lock(m_mutex);
        if (!tryCharge(m_readBudget, 1, "reads"))
            return jsonResponse(429, Json::Value(Json::objectValue));
        Json::Value rows(Json::arrayValue);
        for (const auto &key : arrayMember(requestBody, "keys")) {
            if (const auto row = m_platform.read(key.asString()))
                rows.append(toJson(*row));
        }
        for (const auto &prefix : arrayMember(requestBody, "prefixes")) {
            for (const auto &row : m_platform.scan(prefix.asString()))
                rows.append(toJson(row));
        }
        Json::Value answer(Json::objectValue);
        answer["sequence"] = Json::UInt64(m_platform.sequence());
        answer["rows"] = std::move(rows);
        return jsonResponse(200, answer);
    }

    http_response serveObjectList(const http_request &request)
    {
        Json::Value objects(Json::arrayValue);
        for (const auto &object : m_platform.listObjects(request.query("prefix"))) {
            Json::Value entry(Json::objectValue);
            entry["name"] = object.name;
            entry["version"] = Json::UInt64(object.version);
            objects.append(std::move(entry));
        }
        Json::Value answer(Json::objectValue);
        answer["objects"] = std::move(objects);
        return jsonResponse(200, answer);
    }

    http_response serveObjectContent(const std::string &name)
    {
        const auto found = m_platform.getObject(name);
        if (!found)
            return jsonResponse(404, Json::Value(Json::objectValue));
        http_response response{200, {}, found->content};
        response.headers["Zb-Version"] = std::to_string(found->version);
        response.headers["Content-Type"] = "application/octet-stream";
        return response;
    }

    http_response serveObject(const http_request &request, const std::string &path)
    {
        const std::string prefix = "/objects/";
        const auto name = path.size() > prefix.size() ? path.substr(prefix.size()) : std::string();
        write_result result;
        {
            const std::lock_guard lock(m_mutex);
            if (request.method == "GET") {
                if (!tryCharge(m_readBudget, 1, "reads"))
                    return jsonResponse(429, Json::Value(Json::objectValue));
                return name.empty() ? serveObjectList(request) : serveObjectContent(name);
            }
            if (!tryCharge(m_writeBudget, 1, "objects_written"))
                return jsonResponse(429, Json::Value(Json::objectValue));
            const auto expected = expectedVersion(request);
            result = request.method == "PUT" ? m_platform.putObject(name, request.body, expected)
                                             : m_platform.removeObject(name, expected);
        }
        return answerUnlessLost(result);
    }

    std::mutex m_mutex;
    memory_platform m_platform;
    rate_budget m_writeBudget;
    rate_budget m_readBudget;
    Json::Value m_stats{Json::objectValue};
    pause_gate m_pauseGate;
    std::atomic<bool> m_isDown{false};
    std::atomic<long> m_addedDelayMs{0};
    std::atomic<long> m_answersToLose{0};
    http_server m_server;
};

} // namespace

void pause_gate::waitWhilePaused() const
{
    while (monotonic_clock::now() < m_pausedUntil.load())
        std::this_thread::sleep_for(milliseconds(5));
}

std::unique_ptr<standin> startPlatform(const platform_options &options)
{
    return std::make_unique<platform_standin>(options);
}

} // namespace zinniabarrow::standins
