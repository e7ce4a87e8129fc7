#include "app/config_actor.h"

#include "config/content_slice.h"

#include "base/errors.h"
#include "base/json_member.h"
#include "platform/platform_json.h"
#include "rpc/rpc.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 8192;
constexpr milliseconds TickInterval{100};
constexpr milliseconds PlatformReplyTimeout{2000};
// A process whose last report is older than this is shown as silent. 10 s is three times the
// longest interval between announcements in a fleet of the current size.
constexpr milliseconds SilenceTimeout{10'000};
constexpr std::uint64_t OperationSeedStream = 11;

config::generation_manager_settings managerSettings(const config::entry_settings &settings,
                                                    const process_identity &self)
{
    config::generation_manager_settings out;
    out.process = self.id;
    out.peerCount = settings.peers.size();
    out.pollInterval = settings.configPollInterval;
    out.answerTimeout = settings.platform.timeout * 2;
    return out;
}

std::string folderName(const Json::Value &parameters)
{
    const auto name = stringMember(parameters, "name");
    if (!config::isFolderFile(name) || name.find('/') != std::string::npos)
        throw rpc_refusal(std::string(nameOf(error_kind::BadRequest)),
                          "'" + name + "' is not a file of the folder: its name must end in .json");
    return std::string(config::FolderPrefix) + name;
}

std::optional<std::uint64_t> expectedVersion(const Json::Value &parameters)
{
    if (!parameters.isMember("version"))
        return std::nullopt;
    return countMember(parameters, "version");
}

} // namespace

config_actor::config_actor(actor_runtime &system, const config::entry_settings &settings,
                           const process_identity &self, platform_executor &platform,
                           rpc_sender &sender, metrics &counters, const logger &log,
                           std::function<void(adopted_configuration)> onAdopted)
    : m_settings(settings)
    , m_self(self)
    , m_platform(platform)
    , m_sender(sender)
    , m_metrics(counters)
    , m_log(log)
    , m_onAdopted(std::move(onAdopted))
    , m_manager(managerSettings(settings, self),
                random_generator(self.incarnation, OperationSeedStream), monotonic_clock::now())
{
    m_report = toJson(m_manager.report());
    m_actor = std::make_unique<event_actor<event>>(
            system, RingCapacity, [this](event &newEvent) { handle(newEvent); }, TickInterval,
            [this] { feed(config::tick{}); });
    m_actor->start();
}

config_actor::~config_actor() = default;

void config_actor::stop()
{
    m_actor->stop();
}

// --- On other threads ---------------------------------------------------------------------------

void config_actor::post(config::generation_event newEvent)
{
    // The manager treats a dropped event like a missing answer of the platform: the
    // request times out.
    if (!m_actor->post(std::move(newEvent)))
        m_metrics.count("ring_full_total", "configuration");
}

void config_actor::receiveReport(const config::generation_report &report)
{
    post(config::report_received{report});
}

Json::Value config_actor::ownReport() const
{
    const std::lock_guard lock(m_mutex);
    return m_report;
}

void config_actor::updateMembers(const members_snapshot &snapshot)
{
    process_addresses knownAddresses;
    for (const auto &agent : snapshot.agents)
        knownAddresses.addresses[agent.agentId] = agent.address;
    for (const auto &[id, address] : snapshot.entryAddresses)
        knownAddresses.addresses[id] = address;
    m_actor->post(std::move(knownAddresses));
}

Json::Value config_actor::queryAndWait(
        std::function<Json::Value(const config::generation_manager &, time_point)> query)
{
    return postAndAwaitReply([&](const reply_promise &reply) {
        return m_actor->post(manager_query{query, reply});
    });
}

Json::Value config_actor::handleGenerationPush(const Json::Value &parameters)
{
    receiveReport(config::generationReportFromJson(objectMember(parameters, "report")));
    return queryAndWait([](const config::generation_manager &manager, time_point) {
        return toJson(manager.report());
    });
}

Json::Value config_actor::readContent(const Json::Value &parameters)
{
    const auto contentRequest = config::readContentFromJson(parameters);
    return queryAndWait([contentRequest](const config::generation_manager &manager, time_point) {
        return answerReadContent(manager.follower(), contentRequest);
    });
}

Json::Value config_actor::folderView()
{
    return queryAndWait([](const config::generation_manager &manager, time_point now) {
        return toJson(config::folderViewOf(manager, now, SilenceTimeout));
    });
}

Json::Value config_actor::fileStatus(const Json::Value &parameters)
{
    const auto name = stringMember(parameters, "name");
    const auto version = countMember(parameters, "version");
    return queryAndWait([name, version](const config::generation_manager &manager, time_point now) {
        const auto status = manager.statusOf(name, version);
        Json::Value answer(Json::objectValue);
        answer["status"] = toJson(status);
        answer["follow"] = std::string(nameOf(config::rolloutStateOf(
                config::folderViewOf(manager, now, SilenceTimeout), status)));
        return answer;
    });
}

Json::Value config_actor::writeFile(std::function<write_result(platform_client &)> write)
{
    auto reply = std::make_shared<std::promise<write_result>>();
    auto answer = reply->get_future();
    const bool queued =
            m_platform.enqueue([write = std::move(write), reply](platform_client &platform) {
                reply->set_value(write(platform));
            });
    if (!queued || answer.wait_for(PlatformReplyTimeout) != std::future_status::ready)
        throw rpc_refusal(std::string(nameOf(error_kind::PlatformUnavailable)),
                          "the platform did not answer: whether the file was written is unknown");
    const auto result = answer.get();
    if (result.outcome == write_outcome::Conflict)
        throw rpc_refusal(std::string(nameOf(error_kind::Conflict)),
                          "another operator changed the file: read it again, then write");
    if (result.outcome == write_outcome::Refused)
        throw rpc_refusal(std::string(nameOf(error_kind::PlatformUnavailable)),
                          "the platform refused the write: nothing was written, try again later");
    // The operator waits for this file, so the folder is scanned now instead of at the next poll.
    post(config::scan_now{});
    return toJson(result);
}

Json::Value config_actor::putFile(const Json::Value &parameters)
{
    const auto name = folderName(parameters);
    const auto text = stringMember(parameters, "content");
    const auto expected = expectedVersion(parameters);
    return writeFile([name, text, expected](platform_client &platform) {
        return platform.putObject(name, text, expected);
    });
}

Json::Value config_actor::removeFile(const Json::Value &parameters)
{
    const auto name = folderName(parameters);
    const auto expected = expectedVersion(parameters);
    return writeFile([name, expected](platform_client &platform) {
        return platform.removeObject(name, expected);
    });
}

// --- On the actor's thread ----------------------------------------------------------------------

void config_actor::handle(event &newEvent)
{
    if (auto *pendingQuery = std::get_if<manager_query>(&newEvent)) {
        pendingQuery->reply->set_value(pendingQuery->answer(m_manager, monotonic_clock::now()));
    } else if (auto *knownAddresses = std::get_if<process_addresses>(&newEvent)) {
        m_processAddresses = std::move(knownAddresses->addresses);
    } else {
        feed(std::get<config::generation_event>(newEvent));
    }
}

void config_actor::feed(const config::generation_event &newEvent)
{
    for (const auto &action : m_manager.handle(newEvent, monotonic_clock::now()))
        std::visit([this](const auto &each) { perform(each); }, action);
    m_isReady = m_manager.isReady();
}

void config_actor::perform(const config::read_accepted_row &action)
{
    m_platform.enqueue([this, action](platform_client &platform) {
        const std::string key(config::AcceptedRowKey);
        const auto reading = platform.read({key}, {});
        config::accepted_row_read read{action.request, reading.has_value(), {}};
        read.row.key = key;
        if (reading && !reading->rows.empty())
            read.row = reading->rows.front();
        post(read);
    });
}

void config_actor::perform(const config::list_folder &action)
{
    m_platform.enqueue([this, action](platform_client &platform) {
        const auto objects = platform.listObjects(std::string(config::FolderPrefix));
        config::folder_listed listed{action.request, objects.has_value(), {}};
        if (objects)
            listed.objects = *objects;
        post(listed);
    });
}

void config_actor::perform(const config::read_files &action)
{
    m_platform.enqueue([this, action](platform_client &platform) {
        config::files_read read{action.request, true, {}};
        for (const auto &name : action.names) {
            const auto object = platform.getObject(name);
            read.isAnswered = read.isAnswered && object.has_value();
            if (object && object->version != 0)
                read.objects.push_back(*object);
        }
        post(read);
    });
}

void config_actor::perform(const config::write_content &action)
{
    m_platform.enqueue([this, action](platform_client &platform) {
        post(config::content_written{
                action.request, platform.putObject(action.name, action.content, std::nullopt)});
    });
}

void config_actor::perform(const config::commit_generation &action)
{
    m_platform.enqueue([this, action](platform_client &platform) {
        post(config::generation_committed{action.request, platform.commit(action.transaction)});
    });
}

void config_actor::perform(const config::remove_content &action)
{
    m_platform.enqueue([action](platform_client &platform) {
        platform.removeObject(action.name, std::nullopt);
    });
}

void config_actor::perform(const config::read_content &action)
{
    if (action.peer.empty()) {
        m_platform.enqueue([this, action](platform_client &platform) {
            const auto object =
                    platform.getObject(std::string(config::ContentPrefix) + action.digest);
            const bool found = object && object->version != 0;
            post(config::content_read{action.request, found, found ? object->content : ""});
        });
        return;
    }
    const auto request = action.request;
    m_sender.call(m_processAddresses[action.peer], "generation_content", toJson(action),
                  [this, request](const std::optional<Json::Value> &answer) {
                      post(config::contentReadFromJson(request, answer));
                  });
}

void config_actor::perform(const config::adopt_generation &action)
{
    m_generation = action.generation;
    m_metrics.setGauge("configuration_generation", static_cast<double>(action.generation));
    Json::Value fields(Json::objectValue);
    fields["generation"] = Json::UInt64(action.generation);
    fields["digest"] = action.digest;
    m_log.info("generation_in_force", fields);
    {
        const std::lock_guard lock(m_mutex);
        m_report = toJson(m_manager.report());
    }
    m_onAdopted({action.generation, action.mergedConfig});
}

void config_actor::perform(const config::push_generation &action)
{
    if (action.processes.empty()) {
        for (const auto &[id, address] : m_processAddresses)
            push(address, action.report);
        return;
    }
    for (const auto &id : action.processes) {
        const auto address = m_processAddresses.find(id);
        if (address != m_processAddresses.end())
            push(address->second, action.report);
    }
}

void config_actor::push(const std::string &address, const config::generation_report &report)
{
    Json::Value parameters(Json::objectValue);
    parameters["report"] = toJson(report);
    parameters["address"] = m_settings.rpc.address + ":" + std::to_string(m_settings.rpc.port);
    m_sender.call(address, "generation", parameters,
                  [this](const std::optional<Json::Value> &answer) {
                      if (!answer)
                          return;
                      try {
                          receiveReport(config::generationReportFromJson(*answer));
                      } catch (const error &) {
                          m_metrics.count("reports_refused_total", "bad_request");
                      }
                  });
}

} // namespace zinniabarrow
