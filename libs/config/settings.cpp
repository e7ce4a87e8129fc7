#include "config/settings.h"

#include <array>

#include <fmt/format.h>

#include "base/errors.h"
#include "base/json.h"
#include "base/names.h"
#include "config/fields.h"
#include "config/json_text.h"
#include "config/schema.h"
#include "config/settings_schema.h"

namespace zinniabarrow::config {

namespace {

constexpr name_table<routing_policy, 3> RoutingPolicyNames{{
        {routing_policy::TwoChoices, "two_choices"},
        {routing_policy::RoundRobin, "round_robin"},
        {routing_policy::LeastKnownLoad, "least_known_load"},
}};

} // namespace

std::string_view nameOf(routing_policy policy)
{
    return nameOf(RoutingPolicyNames, policy);
}

// Called from config/fields.h through argument-dependent look-up, hence outside the unnamed
// namespace.
static void fromName(const std::string &name, routing_policy &policy)
{
    policy = enumFromName(RoutingPolicyNames, name);
}

template <typename Archive>
void describe(Archive &archive, listen_settings &listen)
{
    archive("address", listen.address);
    archive("port", listen.port);
    archive("advertise", listen.advertise);
}

template <typename Archive>
void describe(Archive &archive, platform_settings &platform)
{
    archive("address", platform.address);
    archive("timeout_ms", platform.timeout);
}

template <typename Archive>
void describe(Archive &archive, retry_settings &retry)
{
    archive("share", retry.budgetShare);
    archive("floor", retry.minPerSecond);
}

template <typename Archive>
void describe(Archive &archive, policy_weights &weights)
{
    archive("tail_latency", weights.tailLatency);
    archive("throughput", weights.throughput);
    archive("evictions", weights.evictions);
}

template <typename Archive>
void describe(Archive &archive, placement_settings &placement)
{
    archive("tick_ms", placement.tickInterval);
    archive("backlog_per_worker", placement.backlogPerWorker);
    archive("max_tasks_per_commit", placement.maxTasksPerCommit);
    archive("quarantine_workers", placement.jobQuarantineWorkers);
    archive("set_aside_jobs", placement.workerQuarantineJobs);
    archive("evictions_per_minute", placement.evictionsPerMinute);
}

template <typename Archive>
void describe(Archive &archive, routing_settings &routing)
{
    archive("policy", routing.policy);
    archive("spill", routing.spillThreshold);
}

template <typename Archive>
void describe(Archive &archive, entry_settings &entry)
{
    archive("id", entry.id);
    archive("region", entry.region);
    archive("zone", entry.zone);
    archive("listen", entry.listen);
    archive("rpc", entry.rpc);
    archive("peers", entry.peers);
    archive("platform", entry.platform);
    archive("shards", entry.shards);
    archive("lease_ms", entry.shardLease);
    archive("agent_lease_ms", entry.agentLease);
    archive("clock_margin_ms", entry.clockMargin);
    archive("announce_silence_ms", entry.announceTimeout);
    archive("max_body_bytes", entry.maxBodyBytes);
    archive("max_answer_bytes", entry.maxAnswerBytes);
    archive("max_connections", entry.maxConnections);
    archive("max_connections_per_address", entry.maxConnectionsPerAddress);
    archive("request_read_ms", entry.requestReadTimeout);
    archive("answer_write_ms", entry.answerWriteTimeout);
    archive("request_deadline_ms", entry.defaultRequestDeadline);
    archive("retry", entry.retry);
    archive("drain_ms", entry.drainTimeout);
    archive("weights", entry.weights);
    archive("config_poll_ms", entry.configPollInterval);
    archive("placement", entry.placement);
    archive("routing", entry.routing);
    archive("log_level", entry.logLevel);
}

template <typename Archive>
void describe(Archive &archive, upstream_settings &upstream)
{
    archive("address", upstream.address);
    archive("service", upstream.service);
    archive("slots", upstream.slots);
    archive("connections", upstream.connections);
}

template <typename Archive>
void describe(Archive &archive, worker_settings &worker)
{
    archive("address", worker.address);
    archive("id", worker.id);
    archive("pool", worker.pool);
    archive("size", worker.size);
}

template <typename Archive>
void describe(Archive &archive, agent_lease_settings &lease)
{
    archive("clock_margin_ms", lease.clockMargin);
    archive("task_lease_ms", lease.taskLease);
    archive("renew_ms", lease.renewInterval);
    archive("report_ms", lease.ownerReportInterval);
}

template <typename Archive>
void describe(Archive &archive, agent_settings &agent)
{
    archive("id", agent.id);
    archive("region", agent.region);
    archive("zone", agent.zone);
    archive("rack", agent.rack);
    archive("listen", agent.listen);
    archive("entries", agent.entries);
    archive("upstream", agent.upstream);
    archive("worker", agent.worker);
    archive("announce_ms", agent.announceInterval);
    archive("lease", agent.lease);
    archive("queue_length", agent.queueLength);
    archive("max_body_bytes", agent.maxBodyBytes);
    archive("max_answer_bytes", agent.maxAnswerBytes);
    archive("drain_ms", agent.drainTimeout);
    archive("log_level", agent.logLevel);
}

namespace {

const json_schema &entrySchema()
{
    static const json_schema schema{std::string_view(EntrySettingsSchemaText)};
    return schema;
}

const json_schema &agentSchema()
{
    static const json_schema schema{std::string_view(AgentSettingsSchemaText)};
    return schema;
}

[[noreturn]] void throwBadSettings(const std::vector<problem> &problems)
{
    std::vector<std::string> lines;
    for (const auto &problem : problems)
        lines.push_back(toText(problem));
    throw error(error_kind::BadSettings, fmt::format("{}", fmt::join(lines, "\n")));
}

json_text parseAndCheck(const std::string &fileName, const std::string &text,
                        const json_schema &schema)
{
    try {
        json_text parsed(fileName, text);
        const auto problems = schema.check(parsed);
        if (!problems.empty())
            throwBadSettings(problems);
        return parsed;
    } catch (const syntax_error &syntaxError) {
        throwBadSettings({syntaxError.detail});
    }
}

// Throws error BadSettings unless `isConsistent`. The message names the line of the member `key` of
// `parent`, or that of `parent` if the member is missing.
void requireConsistent(bool isConsistent, const json_text &text, const Json::Value &parent,
                       const char *key, const std::string &pointer, const std::string &allowed)
{
    if (isConsistent)
        return;
    const auto &value = parent.isMember(key) ? parent[key] : parent;
    const auto found = parent.isMember(key) ? shortText(value) : std::string("the default");
    throwBadSettings({{text.file(), text.lineOf(value), pointer, found, allowed}});
}

} // namespace

entry_settings entrySettingsFrom(const std::string &fileName, const std::string &text)
{
    const auto parsed = parseAndCheck(fileName, text, entrySchema());
    const auto &root = parsed.root();
    const auto settings = readMembers<entry_settings>(root);
    requireConsistent(settings.agentLease + settings.clockMargin < settings.shardLease, parsed,
                      root, "lease_ms", "/lease_ms",
                      "more than agent_lease_ms and clock_margin_ms together");
    return settings;
}

agent_settings agentSettingsFrom(const std::string &fileName, const std::string &text)
{
    const auto parsed = parseAndCheck(fileName, text, agentSchema());
    const auto &root = parsed.root();
    const auto settings = readMembers<agent_settings>(root);
    requireConsistent(settings.lease.renewInterval + settings.lease.clockMargin
                              < settings.lease.taskLease,
                      parsed, root["lease"], "task_lease_ms", "/lease/task_lease_ms",
                      "more than renew_ms and clock_margin_ms together");
    requireConsistent(settings.upstream.slots <= settings.upstream.connections, parsed,
                      root["upstream"], "connections", "/upstream/connections",
                      "at least as many as slots");
    return settings;
}

Json::Value toJson(const entry_settings &settings)
{
    return membersToJson(settings);
}

Json::Value toJson(const agent_settings &settings)
{
    return membersToJson(settings);
}

const Json::Value &entrySettingsSchema()
{
    return entrySchema().definition();
}

const Json::Value &agentSettingsSchema()
{
    return agentSchema().definition();
}

} // namespace zinniabarrow::config
