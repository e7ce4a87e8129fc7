// Stand-in of an upstream: has a number of slots, echoes its requests and counts the executions of
// each operation.
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include <httplib.h>

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"
#include "standins/standin.h"

namespace zinniabarrow::standins {

namespace {

constexpr milliseconds NoisePollInterval{50};
constexpr milliseconds NoiseTimeout{1000};
constexpr std::size_t RequestsPerConnection = 1U << 30U;
constexpr std::size_t PartBytes = 64 * 1024; // written at a time of a large body
constexpr int WriteTimeoutSeconds = 60;      // until a slow reader is disconnected

std::uint64_t numberParameter(const httplib::Request &request, const char *name)
{
    return request.has_param(name) ? std::stoull(request.get_param_value(name)) : 0;
}

class upstream_standin : public standin
{
public:
    explicit upstream_standin(const upstream_options &options)
        : m_options(options)
    {
        const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
            serve(request, response);
        };
        m_server.Get(".*", handler).Post(".*", handler).Put(".*", handler).Delete(".*", handler);
        m_server.set_keep_alive_max_count(RequestsPerConnection);
        m_server.set_tcp_nodelay(true);
        m_server.set_write_timeout(WriteTimeoutSeconds);
        m_server.new_task_queue = [this] { return new httplib::ThreadPool(m_options.connections); };
        auto &address = m_options.address;
        if (address.port == 0)
            address.port = m_server.bind_to_any_port(address.address);
        else if (!m_server.bind_to_port(address.address, address.port))
            throw error(error_kind::BadSettings, "cannot listen on " + toText(address));
        m_acceptThread = std::thread([this] { m_server.listen_after_bind(); });
        if (m_options.workerAddress)
            m_noiseThread = std::thread([this] { pollNoise(); });
    }

    ~upstream_standin() override
    {
        m_isStopping = true;
        m_server.stop();
        m_acceptThread.join();
        if (m_noiseThread.joinable())
            m_noiseThread.join();
    }

    socket_address address() const override { return m_options.address; }

private:
    void serve(const httplib::Request &request, httplib::Response &response)
    {
        if (request.path == "/fault")
            return reply(response, setFault(parseJson(request.body)));
        if (request.path == "/executions")
            return reply(response, executionsJson());
        m_pauseGate.waitWhilePaused();
        if (m_isUnavailable) {
            response.status = 503;
            return;
        }
        if (request.path == "/large")
            serveLarge(request, response);
        else
            runInSlot(request, response);
    }

    static void reply(httplib::Response &response, const Json::Value &body)
    {
        response.set_content(compactJson(body), "application/json");
    }

    Json::Value setFault(const Json::Value &fault)
    {
        if (fault.isMember("pause_ms"))
            m_pauseGate.pauseFor(milliseconds(integerMember(fault, "pause_ms")));
        if (fault.isMember("slow_ms"))
            m_addedDelayMs = integerMember(fault, "slow_ms");
        if (fault.isMember("target_ms")) {
            m_targetTime = milliseconds(integerMember(fault, "target_ms"));
            m_answersWithinTarget = 0;
            m_answersBeyondTarget = 0;
        }
        if (fault.isMember("cut"))
            m_answersToCut = integerMember(fault, "cut");
        if (fault.isMember("unavailable"))
            m_isUnavailable = boolMember(fault, "unavailable");
        return fault;
    }

    // Answer of /executions: counters, and how often each operation was executed. A request that
    // starts when all slots are taken is an overrun.
    Json::Value executionsJson()
    {
        const std::lock_guard lock(m_mutex);
        Json::Value json(Json::objectValue);
        json["overruns"] = m_overruns;
        json["cuts"] = Json::Int64(m_cutAnswers);
        json["at_once"] = m_runningRequests;
        json["most_at_once"] = m_maxRunningRequests;
        json["within_target"] = m_answersWithinTarget.load();
        json["beyond_target"] = m_answersBeyondTarget.load();
        json["operations"] = Json::Value(Json::objectValue);
        for (const auto &[operation, count] : m_executions)
            json["operations"][operation] = count;
        return json;
    }

    void acquireSlot(const std::string &operation)
    {
        const std::lock_guard lock(m_mutex);
        ++m_executions[operation];
        ++m_runningRequests;
        m_maxRunningRequests = std::max(m_maxRunningRequests, m_runningRequests);
        if (m_runningRequests > m_options.slots)
            ++m_overruns;
    }

    void releaseSlot()
    {
        const std::lock_guard lock(m_mutex);
        --m_runningRequests;
    }

    // Service time of a request. Computed from the noise of the instance's tasks instead of
    // measured, so that results repeat on a busy machine too.
    milliseconds serviceTime() const
    {
        const auto work = static_cast<double>(m_options.workTime.count()) * (1 + m_noise);
        return milliseconds(static_cast<std::int64_t>(work) + m_addedDelayMs);
    }

    void pollNoise()
    {
        http_pool worker(*m_options.workerAddress);
        for (; !m_isStopping; std::this_thread::sleep_for(NoisePollInterval)) {
            const auto result =
                    worker.call({"GET", "/noise", {}, {}}, monotonic_clock::now() + NoiseTimeout);
            const auto *response = std::get_if<http_response>(&result);
            if (response != nullptr && response->status == 200)
                m_noise = parseJson(response->body)["noise"].asDouble();
        }
    }

    // Declares the full length, sends half the body and closes the connection.
    static void sendIncomplete(httplib::Response &response, const std::string &body)
    {
        response.set_content_provider(
                body.size(), "application/json",
                [body](std::size_t offset, std::size_t, httplib::DataSink &sink) {
                    if (offset > 0)
                        return false;
                    sink.write(body.data(), body.size() / 2);
                    return true;
                });
    }

    void runInSlot(const httplib::Request &request, httplib::Response &response)
    {
        const auto operation = request.get_header_value("Operation");
        acquireSlot(operation);
        const auto requestTime = serviceTime();
        ++(requestTime <= m_targetTime.load() ? m_answersWithinTarget : m_answersBeyondTarget);
        std::this_thread::sleep_for(requestTime);
        releaseSlot();
        Json::Value echo(Json::objectValue);
        echo["upstream"] = m_options.id;
        echo["operation"] = operation;
        echo["method"] = request.method;
        echo["target"] = request.target;
        echo["body"] = request.body;
        if (shouldCutAnswer())
            sendIncomplete(response, compactJson(echo));
        else
            reply(response, echo);
    }

    // True if a fault asks to cut this answer, which is then counted as cut.
    bool shouldCutAnswer()
    {
        long answersLeft = m_answersToCut;
        while (answersLeft > 0
               && !m_answersToCut.compare_exchange_weak(answersLeft, answersLeft - 1)) { }
        if (answersLeft > 0)
            ++m_cutAnswers;
        return answersLeft > 0;
    }

    // Holds a slot until the last part is sent or the connection is closed.
    struct slot_holder
    {
        explicit slot_holder(upstream_standin &slotOwner)
            : upstream(slotOwner)
        { }
        ~slot_holder() { release(); }
        void release()
        {
            if (!std::exchange(isReleased, true))
                upstream.releaseSlot();
        }

        upstream_standin &upstream;
        bool isReleased = false;
    };

    void serveLarge(const httplib::Request &request, httplib::Response &response)
    {
        acquireSlot(request.get_header_value("Operation"));
        const auto slot = std::make_shared<slot_holder>(*this);
        std::this_thread::sleep_for(m_options.workTime + milliseconds(m_addedDelayMs));
        const auto bytes = numberParameter(request, "bytes");
        const auto extra = numberParameter(request, "extra");
        const auto cutAt = shouldCutAnswer() ? bytes / 2 : bytes;
        const auto sendNext = [=](std::size_t offset, std::uint64_t maxBytes,
                                  httplib::DataSink &sink) {
            if (offset >= cutAt && cutAt < bytes)
                return false;
            const auto size = std::min({std::uint64_t(PartBytes), maxBytes, cutAt - offset});
            const bool isLast = offset + size == bytes;
            if (isLast)
                slot->release();
            const auto part = patternBytes(offset, size + (isLast ? extra : 0));
            return sink.write(part.data(), part.size());
        };
        if (request.get_param_value("framing") != "chunked") {
            response.set_content_provider(
                    bytes, "application/octet-stream",
                    [=](std::size_t offset, std::size_t length, httplib::DataSink &sink) {
                        return sendNext(offset, length, sink);
                    });
            return;
        }
        response.set_chunked_content_provider("application/octet-stream",
                                              [=](std::size_t offset, httplib::DataSink &sink) {
                                                  if (!sendNext(offset, bytes, sink))
                                                      return false;
                                                  if (offset + PartBytes >= bytes)
                                                      sink.done();
                                                  return true;
                                              });
    }

    upstream_options m_options;
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_executions;
    unsigned m_runningRequests = 0;
    unsigned m_maxRunningRequests = 0;
    unsigned m_overruns = 0;
    std::atomic<bool> m_isStopping{false};
    std::atomic<double> m_noise{0}; // added to the service time, as a fraction of it
    std::atomic<milliseconds> m_targetTime{milliseconds(0)};
    std::atomic<unsigned> m_answersWithinTarget{0}; // since the target was set
    std::atomic<unsigned> m_answersBeyondTarget{0};
    std::atomic<long> m_addedDelayMs{0};
    std::atomic<long> m_answersToCut{0};
    std::atomic<long> m_cutAnswers{0}; // total
    pause_gate m_pauseGate;
    std::atomic<bool> m_isUnavailable{false};
    httplib::Server m_server;
    std::thread m_acceptThread;
    std::thread m_noiseThread;
};

} // namespace

std::string patternBytes(std::uint64_t offset, std::size_t size)
{
    constexpr std::uint64_t LetterCount = 26;
    constexpr std::uint64_t LineBytes = 64; // each line starts with a different letter
    std::string bytes(size, '\0');
    for (std::size_t index = 0; index < size; ++index) {
        const auto position = offset + index;
        bytes[index] = static_cast<char>('a' + (position + position / LineBytes * 7) % LetterCount);
    }
    return bytes;
}

std::unique_ptr<standin> startUpstream(const upstream_options &options)
{
    return std::make_unique<upstream_standin>(options);
}

} // namespace zinniabarrow::standins
