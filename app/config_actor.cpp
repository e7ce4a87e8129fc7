#include "app/config_actor.h"

#include "config/content_slice.h"

#include "base/errors.h"
#include "base/json_member.h"
#include "platform/platform_json.h"
#include "rpc/rpc.h"

namespace zinniabarrow {

namespace {

constexpr std::size_t RingCapacity = 8192;
constexpr milliseconds TickEvery{100};
constexpr milliseconds ReplyWithin{2000};
// A process that was not heard for so long is named as silent: three of the longest periods
// between announcements of a fleet of today's size.
constexpr milliseconds SilentAfter{10'000};
constexpr std::uint64_t OperationSeedStream = 11;

config::keeper_settings keeperSettings(const config::entry_settings &settings,
                                       const process_identity &self)
{
    config::keeper_settings out;
    out.process = self.id;
    out.peers = settings.peers.size();
    out.poll = settings.configPoll;
    out.answerTimeout = settings.platform.timeout * 2;
    return out;
}

std::string folderName(const Json::Value &parameters)
{
    const auto name = stringMember(parameters, "name");
    if (!config::isFolderFile(name) || name.find('/') != std::string::npos)
        throw rpc_refusal(std::string(nameOf(error_kind::BadRequest)),
                          "'" + name + "' is no file of the folder: end the name in .json");
    return std::string(config::FolderPrefix) + name;
}

std::optional<std::uint64_t> expectedVersion(const Json::Value &parameters)
{
    if (!parameters.isMember("version"))
        return std::nullopt;
    return countMember(parameters, "version");
}

} // namespace

config_duty::config_duty(duty_system &system, const config::entry_settings &settings,
                         const process_identity &self, platform_lane &platform, rpc_sender &sender,
                         metrics &counters, const logger &log,
                         std::function<void(adopted_configuration)> adopted)
    : m_settings(settings)
    , m_self(self)
    , m_platform(platform)
    , m_sender(sender)
    , m_metrics(counters)
    , m_log(log)
    , m_adopted(std::move(adopted))
    , m_keeper(keeperSettings(settings, self),
               random_generator(self.incarnation, OperationSeedStream), monotonic_clock::now())
{
    m_report = toJson(m_keeper.report());
    m_duty = std::make_unique<duty<event>>(
            system, RingCapacity, [this](event &what) { handle(what); }, TickEvery,
            [this] { feed(config::tick{}); });
}

config_duty::~config_duty() = default;

void config_duty::stop()
{
    m_duty->stop();
}

// --- On other threads ---------------------------------------------------------------------------

void config_duty::post(config::generation_event what)
{
    // A lost answer is like one that the platform never gave: the keeper asks again.
    if (!m_duty->post(std::move(what)))
        m_metrics.count("ring_full_total", "configuration");
}

void config_duty::hear(const config::generation_report &report)
{
    post(config::report_heard{report});
}

Json::Value config_duty::report() const
{
    const std::lock_guard lock(m_mutex);
    return m_report;
}

void config_duty::membersChanged(const members_snapshot &snapshot)
{
    members_known known;
    for (const auto &agent : snapshot.agents)
        known.addresses[agent.agentId] = agent.address;
    for (const auto &[id, address] : snapshot.entryAddresses)
        known.addresses[id] = address;
    m_duty->post(std::move(known));
}

Json::Value
config_duty::ask(std::function<Json::Value(const config::generation_keeper &, time_point)> how)
{
    return postAndAwaitReply([&](const reply_promise &reply) {
        return m_duty->post(question{how, reply});
    });
}

Json::Value config_duty::generationPushed(const Json::Value &parameters)
{
    hear(config::generationReportFromJson(objectMember(parameters, "report")));
    return ask([](const config::generation_keeper &keeper, time_point) {
        return toJson(keeper.report());
    });
}

Json::Value config_duty::content(const Json::Value &parameters)
{
    const auto wanted = config::readContentFromJson(parameters);
    return ask([wanted](const config::generation_keeper &keeper, time_point) {
        return contentAnswer(keeper.follower(), wanted);
    });
}

Json::Value config_duty::view()
{
    return ask([](const config::generation_keeper &keeper, time_point now) {
        return toJson(config::folderViewOf(keeper, now, SilentAfter));
    });
}

Json::Value config_duty::fileStatus(const Json::Value &parameters)
{
    const auto name = stringMember(parameters, "name");
    const auto version = countMember(parameters, "version");
    return ask([name, version](const config::generation_keeper &keeper, time_point now) {
        const auto status = keeper.statusOf(name, version);
        Json::Value answer(Json::objectValue);
        answer["status"] = toJson(status);
        answer["follow"] = std::string(nameOf(
                config::followState(config::folderViewOf(keeper, now, SilentAfter), status)));
        return answer;
    });
}

Json::Value config_duty::writeFile(std::function<write_result(platform_client &)> write)
{
    auto reply = std::make_shared<std::promise<write_result>>();
    auto answer = reply->get_future();
    const bool queued =
            m_platform.run([write = std::move(write), reply](platform_client &platform) {
                reply->set_value(write(platform));
            });
    if (!queued || answer.wait_for(ReplyWithin) != std::future_status::ready)
        throw rpc_refusal(std::string(nameOf(error_kind::PlatformUnavailable)),
                          "the platform did not answer: whether the file was written is unknown");
    const auto result = answer.get();
    if (result.outcome == write_outcome::Conflict)
        throw rpc_refusal(std::string(nameOf(error_kind::Conflict)),
                          "another operator changed the file: read it again, then write");
    if (result.outcome == write_outcome::Refused)
        throw rpc_refusal(std::string(nameOf(error_kind::PlatformUnavailable)),
                          "the platform refused: nothing was written, try again later");
    post(config::look_now{}); // the operator waits for this file: do not wait for the next round
    return toJson(result);
}

Json::Value config_duty::putFile(const Json::Value &parameters)
{
    const auto name = folderName(parameters);
    const auto text = stringMember(parameters, "content");
    const auto expected = expectedVersion(parameters);
    return writeFile([name, text, expected](platform_client &platform) {
        return platform.putObject(name, text, expected);
    });
}

Json::Value config_duty::removeFile(const Json::Value &parameters)
{
    const auto name = folderName(parameters);
    const auto expected = expectedVersion(parameters);
    return writeFile([name, expected](platform_client &platform) {
        return platform.removeObject(name, expected);
    });
}

// --- On the duty's thread -----------------------------------------------------------------------

void config_duty::handle(event &what)
{
    if (auto *asked = std::get_if<question>(&what)) {
        asked->reply->set_value(asked->answer(m_keeper, monotonic_clock::now()));
    } else if (auto *known = std::get_if<members_known>(&what)) {
        m_addresses = std::move(known->addresses);
    } else {
        feed(std::get<config::generation_event>(what));
    }
}

void config_duty::feed(const config::generation_event &what)
{
    for (const auto &action : m_keeper.handle(what, monotonic_clock::now()))
        std::visit([this](const auto &each) { perform(each); }, action);
    m_ready = m_keeper.isReady();
}

void config_duty::perform(const config::read_accepted &action)
{
    m_platform.run([this, action](platform_client &platform) {
        const std::string key(config::AcceptedRowKey);
        const auto reading = platform.read({key}, {});
        config::accepted_read read{action.request, reading.has_value(), {}};
        read.row.key = key;
        if (reading && !reading->rows.empty())
            read.row = reading->rows.front();
        post(read);
    });
}

void config_duty::perform(const config::list_folder &action)
{
    m_platform.run([this, action](platform_client &platform) {
        const auto objects = platform.listObjects(std::string(config::FolderPrefix));
        config::folder_listed listed{action.request, objects.has_value(), {}};
        if (objects)
            listed.objects = *objects;
        post(listed);
    });
}

void config_duty::perform(const config::read_files &action)
{
    m_platform.run([this, action](platform_client &platform) {
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

void config_duty::perform(const config::write_content &action)
{
    m_platform.run([this, action](platform_client &platform) {
        post(config::content_written{
                action.request, platform.putObject(action.name, action.content, std::nullopt)});
    });
}

void config_duty::perform(const config::commit_generation &action)
{
    m_platform.run([this, action](platform_client &platform) {
        post(config::generation_committed{action.request, platform.commit(action.transaction)});
    });
}

void config_duty::perform(const config::remove_content &action)
{
    m_platform.run([action](platform_client &platform) {
        platform.removeObject(action.name, std::nullopt);
    });
}

void config_duty::perform(const config::read_content &action)
{
    if (action.peer.empty()) {
        m_platform.run([this, action](platform_client &platform) {
            const auto object =
                    platform.getObject(std::string(config::MergedPrefix) + action.digest);
            const bool found = object && object->version != 0;
            post(config::content_read{action.request, found, found ? object->content : ""});
        });
        return;
    }
    const auto request = action.request;
    m_sender.call(m_addresses[action.peer], "generation_content", toJson(action),
                  [this, request](const std::optional<Json::Value> &answer) {
                      post(config::contentReadFromJson(request, answer));
                  });
}

void config_duty::perform(const config::adopt_generation &action)
{
    m_generation = action.generation;
    m_metrics.set("configuration_generation", static_cast<double>(action.generation));
    Json::Value fields(Json::objectValue);
    fields["generation"] = Json::UInt64(action.generation);
    fields["digest"] = action.digest;
    m_log.info("generation_in_force", fields);
    {
        const std::lock_guard lock(m_mutex);
        m_report = toJson(m_keeper.report());
    }
    m_adopted({action.generation, action.whole});
}

void config_duty::perform(const config::push_generation &action)
{
    if (action.processes.empty()) {
        for (const auto &[id, address] : m_addresses)
            push(address, action.report);
        return;
    }
    for (const auto &id : action.processes) {
        const auto address = m_addresses.find(id);
        if (address != m_addresses.end())
            push(address->second, action.report);
    }
}

void config_duty::push(const std::string &address, const config::generation_report &report)
{
    Json::Value parameters(Json::objectValue);
    parameters["report"] = toJson(report);
    parameters["address"] = m_settings.rpc.address + ":" + std::to_string(m_settings.rpc.port);
    m_sender.call(address, "generation", parameters,
                  [this](const std::optional<Json::Value> &answer) {
                      if (!answer)
                          return;
                      try {
                          hear(config::generationReportFromJson(*answer));
                      } catch (const error &) {
                          m_metrics.count("reports_refused_total", "bad_request");
                      }
                  });
}

} // namespace zinniabarrow
