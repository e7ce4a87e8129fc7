#include "jobs/messages.h"

#include <cmath>

#include "base/errors.h"
#include "base/json.h"
#include "base/json_member.h"
#include "base/names.h"
#include "jobs/value_limits.h"

namespace zinniabarrow::jobs {

namespace {

constexpr name_table<order_kind, 2> OrderKindNames{{
        {order_kind::Start, "start"},
        {order_kind::Stop, "stop"},
}};

constexpr name_table<order_outcome, 8> OrderOutcomeNames{{
        {order_outcome::Accepted, "accepted"},
        {order_outcome::NoRoom, "no_room"},
        {order_outcome::Draining, "draining"},
        {order_outcome::WrongEpoch, "wrong_epoch"},
        {order_outcome::Superseded, "superseded"},
        {order_outcome::WrongAgentIncarnation, "other_life"},
        {order_outcome::NotReady, "not_ready"},
        {order_outcome::DeadlineExceeded, "overdue"},
}};

constexpr name_table<end_kind, 7> EndKindNames{{
        {end_kind::Done, "done"},
        {end_kind::Failed, "failed"},
        {end_kind::Stopped, "stopped"},
        {end_kind::HoldExpired, "lapsed"},
        {end_kind::Broken, "broken"},
        {end_kind::Alone, "alone"},
        {end_kind::NeverStarted, "never_started"},
}};

template <typename Enum, std::size_t Size>
Enum enumFromName(const name_table<Enum, Size> &table, const std::string &name)
{
    const auto value = valueOf(table, name);
    if (!value)
        throw error(error_kind::BadRequest, "unknown name " + name);
    return *value;
}

task_id taskMember(const Json::Value &object)
{
    const auto text = stringMember(object, "task");
    const auto task = taskIdFrom(text);
    if (!task)
        throw error(error_kind::BadRequest, "not a task id: " + text);
    return *task;
}

Json::Value toJson(const task_size &size)
{
    Json::Value value(Json::objectValue);
    value["millicores"] = Json::Int64(size.millicores);
    value["memory_mb"] = Json::Int64(size.memoryMb);
    value["accelerators"] = Json::Int64(size.accelerators);
    return value;
}

task_size sizeFrom(const Json::Value &value)
{
    return {integerMemberUpTo(value, "millicores", MaxAmount),
            integerMemberUpTo(value, "memory_mb", MaxAmount),
            integerMemberUpTo(value, "accelerators", MaxAmount)};
}

int runMember(const Json::Value &object)
{
    return static_cast<int>(integerMemberUpTo(object, "run", MaxRunNumber));
}

std::int64_t slackMember(const Json::Value &object)
{
    const auto slackMs = integerMember(object, "slack_ms");
    if (slackMs < 0 || slackMs > MaxRunSlackMs)
        throw error(error_kind::BadRequest, "member 'slack_ms': out of range");
    return slackMs;
}

Json::Value toJson(const std::vector<run_slack> &runs)
{
    Json::Value rows(Json::arrayValue);
    for (const auto &run : runs) {
        Json::Value row(Json::objectValue);
        row["task"] = toText(run.task);
        row["run"] = run.run;
        row["slack_ms"] = Json::Int64(run.slackMs);
        rows.append(std::move(row));
    }
    return rows;
}

std::vector<run_slack> slackFrom(const Json::Value &rows)
{
    std::vector<run_slack> runs;
    for (const auto &row : rows)
        runs.push_back({taskMember(row), runMember(row), slackMember(row)});
    return runs;
}

Json::Value toJson(const run_order &order, bool hasPayload)
{
    Json::Value value(Json::objectValue);
    value["kind"] = std::string(nameOf(OrderKindNames, order.kind));
    value["task"] = toText(order.task);
    value["run"] = order.run;
    value["epoch"] = Json::Int64(order.epoch);
    if (order.kind == order_kind::Stop)
        return value;
    value["agent_life"] = Json::Int64(order.agentIncarnation);
    value["holds_until_ms"] = Json::Int64(order.startDeadlineMs);
    if (hasPayload)
        value["payload"] = order.payload;
    value["checkpoint"] = order.checkpoint;
    value["size"] = toJson(order.requirements.size);
    value["fills"] = order.requirements.isBestEffort;
    value["lasting"] = order.requirements.isLongRunning;
    value["image"] = order.requirements.image;
    value["target_ms"] = Json::Int64(order.requirements.latencyTargetMs);
    if (order.requirements.slackMs)
        value["slack_ms"] = Json::Int64(*order.requirements.slackMs);
    if (order.requirements.maxPerWorker > 0)
        value["per_worker"] = order.requirements.maxPerWorker;
    value["tells_start"] = order.wantsStartReport;
    return value;
}

// `payloads`: those that the batch has for all orders of a job, by the job's id.
run_order orderFrom(const Json::Value &value, const Json::Value &payloads)
{
    run_order order;
    order.kind = enumFromName(OrderKindNames, stringMember(value, "kind"));
    order.task = taskMember(value);
    order.run = runMember(value);
    order.epoch = integerMemberUpTo(value, "epoch", MaxCounter);
    if (order.kind == order_kind::Stop)
        return order;
    // Entries of the previous release don't send these.
    if (value.isMember("agent_life"))
        order.agentIncarnation = integerMemberUpTo(value, "agent_life", MaxCounter);
    if (value.isMember("holds_until_ms"))
        order.startDeadlineMs = integerMemberUpTo(value, "holds_until_ms", MaxTimeMs);
    order.payload = value.isMember("payload") ? stringMember(value, "payload")
                                              : stringMember(payloads, order.task.job.c_str());
    order.checkpoint = stringMember(value, "checkpoint");
    order.requirements.size = sizeFrom(objectMember(value, "size"));
    order.requirements.isBestEffort = boolMember(value, "fills");
    order.requirements.isLongRunning = boolMember(value, "lasting");
    order.requirements.image = stringMember(value, "image");
    order.requirements.latencyTargetMs = integerMemberUpTo(value, "target_ms", MaxTimeMs);
    if (value.isMember("slack_ms"))
        order.requirements.slackMs = slackMember(value);
    if (value.isMember("per_worker"))
        order.requirements.maxPerWorker = smallIntegerMember(value, "per_worker");
    order.wantsStartReport = boolMember(value, "tells_start");
    return order;
}

Json::Value toJson(const run_end &end)
{
    Json::Value value(Json::objectValue);
    value["number"] = Json::Int64(end.sequence);
    value["task"] = toText(end.task);
    value["run"] = end.run;
    value["how"] = std::string(nameOf(end.endKind));
    value["checkpoint"] = end.checkpoint;
    return value;
}

std::map<std::string, double> amountsFrom(const Json::Value &object)
{
    std::map<std::string, double> amounts;
    for (const auto &name : object.getMemberNames()) {
        amounts[name] = numberMemberWithin(object, name.c_str(), MaxReal);
    }
    return amounts;
}

Json::Value toJson(const std::map<std::string, double> &amounts)
{
    Json::Value value(Json::objectValue);
    for (const auto &[name, amount] : amounts)
        value[name] = amount;
    return value;
}

Json::Value toJson(const std::vector<run_end_id> &ends)
{
    Json::Value rows(Json::arrayValue);
    for (const auto &end : ends) {
        Json::Value row(Json::objectValue);
        row["task"] = toText(end.task);
        row["run"] = end.run;
        row["how"] = std::string(nameOf(end.endKind));
        rows.append(std::move(row));
    }
    return rows;
}

std::vector<run_end_id> endIdsFrom(const Json::Value &rows)
{
    std::vector<run_end_id> ends;
    for (const auto &row : rows) {
        const auto endKind = endKindNamed(stringMember(row, "how"));
        if (!endKind)
            throw error(error_kind::BadRequest,
                        "answer to a report names an end of an unknown kind");
        ends.push_back({taskMember(row), runMember(row), *endKind});
    }
    return ends;
}

Json::Value toJson(const interference_sample &sample)
{
    Json::Value value(Json::objectValue);
    value["image"] = sample.image;
    value["tail_ms"] = Json::Int64(sample.tailLatencyMs);
    value["target_ms"] = Json::Int64(sample.latencyTargetMs);
    value["fills"] = toJson(sample.bestEffortCores);
    if (sample.change) {
        value["inverse_fall"] = sample.change->inverseTailDrop;
        value["fill_changes"] = toJson(sample.change->bestEffortCores);
        if (sample.change->isLowerBound)
            value["change_at_least"] = true;
    }
    return value;
}

} // namespace

std::string_view nameOf(order_outcome outcome)
{
    return nameOf(OrderOutcomeNames, outcome);
}

bool shouldRetry(order_outcome outcome)
{
    return outcome == order_outcome::NotReady || outcome == order_outcome::DeadlineExceeded;
}

bool isPermanentRefusal(order_outcome outcome)
{
    return outcome != order_outcome::Accepted && !shouldRetry(outcome);
}

std::string_view nameOf(end_kind ending)
{
    return nameOf(EndKindNames, ending);
}

std::optional<end_kind> endKindNamed(std::string_view name)
{
    return valueOf(EndKindNames, name);
}

std::string toText(const report_answer &answer)
{
    Json::Value value(Json::objectValue);
    value["acknowledged"] = toJson(answer.acknowledged);
    if (!answer.notOwned.empty())
        value["not_owned"] = toJson(answer.notOwned);
    value["presses"] = Json::Value(Json::objectValue);
    for (const auto &[serving, row] : answer.interference) {
        value["presses"][serving]["floor_ms"] = row.floorMs;
        value["presses"][serving]["by"] = Json::Value(Json::objectValue);
        for (const auto &[bestEffortImage, load] : row.loadsPerCore)
            value["presses"][serving]["by"][bestEffortImage] = std::round(load * 1000) / 1000;
    }
    if (answer.minReportInterval > milliseconds(0))
        value["interval_ms"] = Json::Int64(answer.minReportInterval.count());
    if (!answer.wantsReports)
        value["seldom"] = true;
    if (answer.zoneEvacuated)
        value["zone_evacuated"] = true;
    if (!answer.slack.empty())
        value["slack"] = toJson(answer.slack);
    return compactJson(value);
}

report_answer reportAnswerFrom(const std::string &text)
{
    const auto value = parseJsonObject(text);
    report_answer answer;
    answer.acknowledged = endIdsFrom(arrayMember(value, "acknowledged"));
    // Entries of the previous release don't send it.
    if (value.isMember("not_owned"))
        answer.notOwned = endIdsFrom(arrayMember(value, "not_owned"));
    const auto &interferenceRows = objectMember(value, "presses");
    for (const auto &serving : interferenceRows.getMemberNames()) {
        const auto &row = objectMember(interferenceRows, serving.c_str());
        answer.interference[serving] = {numberMemberWithin(row, "floor_ms", MaxReal),
                                        amountsFrom(objectMember(row, "by"))};
    }
    // Entries of the previous release don't send it.
    if (value.isMember("interval_ms"))
        answer.minReportInterval = milliseconds(integerMemberUpTo(value, "interval_ms", MaxTimeMs));
    if (value.isMember("seldom"))
        answer.wantsReports = !boolMember(value, "seldom");
    if (value.isMember("zone_evacuated"))
        answer.zoneEvacuated = boolMember(value, "zone_evacuated");
    if (value.isMember("slack"))
        answer.slack = slackFrom(arrayMember(value, "slack"));
    return answer;
}

std::string toText(const order_batch &batch)
{
    Json::Value value(Json::objectValue);
    value["owner"] = batch.owner;
    value["owner_address"] = batch.ownerAddress;
    value["orders"] = Json::Value(Json::arrayValue);
    for (const auto &order : batch.orders) {
        value["orders"].append(toJson(order, !batch.sharesPayloads));
        if (batch.sharesPayloads && order.kind == order_kind::Start)
            value["payloads"][order.task.job] = order.payload;
    }
    return compactUtf8Json(value);
}

order_batch orderBatchFrom(const std::string &text)
{
    const auto value = parseJsonObject(text);
    order_batch batch;
    batch.owner = stringMember(value, "owner");
    batch.ownerAddress = stringMember(value, "owner_address");
    batch.sharesPayloads = value.isMember("payloads");
    const Json::Value none(Json::objectValue);
    const auto &payloads = batch.sharesPayloads ? objectMember(value, "payloads") : none;
    for (const auto &order : arrayMember(value, "orders"))
        batch.orders.push_back(orderFrom(order, payloads));
    return batch;
}

std::string toText(const std::vector<order_answer> &answers)
{
    Json::Value value(Json::objectValue);
    value["answers"] = Json::Value(Json::arrayValue);
    for (const auto &answer : answers) {
        Json::Value row(Json::objectValue);
        row["task"] = toText(answer.task);
        row["run"] = answer.run;
        row["outcome"] = std::string(nameOf(answer.outcome));
        row["kind"] = std::string(nameOf(OrderKindNames, answer.kind));
        value["answers"].append(std::move(row));
    }
    return compactJson(value);
}

std::vector<order_answer> orderAnswersFrom(const std::string &text)
{
    const auto value = parseJsonObject(text);
    std::vector<order_answer> answers;
    for (const auto &row : arrayMember(value, "answers")) {
        answers.push_back({taskMember(row), runMember(row),
                           enumFromName(OrderOutcomeNames, stringMember(row, "outcome")),
                           enumFromName(OrderKindNames, stringMember(row, "kind"))});
    }
    return answers;
}

std::string toText(const worker_report &report)
{
    Json::Value value(Json::objectValue);
    value["worker"] = report.worker;
    value["address"] = report.address;
    value["agent_life"] = Json::Int64(report.agentIncarnation);
    value["epoch"] = Json::Int64(report.epoch);
    value["clock_ms"] = Json::Int64(report.clockMs);
    value["service"] = report.service;
    value["zone"] = report.zone;
    value["kind"] = report.kind;
    value["rack"] = report.rack;
    value["accepting"] = report.isAccepting;
    if (report.takesSharedPayloads)
        value["shared_payloads"] = true;
    value["capacity"] = toJson(report.capacity);
    value["used"] = toJson(report.used);
    value["lasting"] = toJson(report.usedByLongRunning);
    value["fill_millicores"] = Json::Int64(report.bestEffortMillicores);
    if (report.failuresInRow > 0)
        value["failures_in_row"] = report.failuresInRow;
    for (const auto &run : report.serving) {
        Json::Value row(Json::objectValue);
        row["image"] = run.image;
        row["room"] = std::round(run.headroom * 1000) / 1000;
        row["job"] = run.job;
        if (run.isLate)
            row["late"] = true;
        value["serving"].append(std::move(row));
    }
    value["filling"] = toJson(report.bestEffortDemand);
    for (const auto &sample : report.samples)
        value["samples"].append(toJson(sample));
    value["wants_presses"] = report.wantsInterferenceTable;
    value["ends"] = Json::Value(Json::arrayValue);
    for (const auto &end : report.ends)
        value["ends"].append(toJson(end));
    value["progress"] = Json::Value(Json::arrayValue);
    for (const auto &progress : report.progress) {
        Json::Value row(Json::objectValue);
        row["task"] = toText(progress.task);
        row["run"] = progress.run;
        row["checkpoint"] = progress.checkpoint;
        value["progress"].append(std::move(row));
    }
    for (const auto &started : report.started) {
        Json::Value row(Json::objectValue);
        row["task"] = toText(started.task);
        row["run"] = started.run;
        value["started"].append(std::move(row));
    }
    return compactUtf8Json(value);
}

std::string textWithin(worker_report &report, std::size_t maxBytes)
{
    auto text = toText(report);
    while (text.size() > maxBytes && (!report.progress.empty() || !report.ends.empty())) {
        if (report.progress.empty())
            report.ends.resize(report.ends.size() / 2);
        report.progress.clear();
        text = toText(report);
    }
    return text;
}

} // namespace zinniabarrow::jobs
