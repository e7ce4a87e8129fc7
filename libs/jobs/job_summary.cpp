#include "jobs/job_summary.h"

#include "base/errors.h"
#include "base/json.h"
#include "base/large_json.h"
#include "jobs/value_limits.h"

namespace zinniabarrow::jobs {

namespace {

constexpr int SummaryVersion = 1;

} // namespace

job_summary summaryOf(const job_record &record)
{
    return {record.owner, record.state(), record.policy.queue, record.needsOwner(),
            record.hasStarted || record.hasRunAnyTask()};
}

std::string toText(const job_summary &summary)
{
    Json::Value value(Json::objectValue);
    value["v"] = SummaryVersion;
    value["o"] = summary.owner.entry;
    value["i"] = Json::Int64(summary.owner.incarnation);
    value["s"] = std::string(nameOf(summary.state));
    value["q"] = summary.queue;
    if (summary.needsOwner)
        value["n"] = 1;
    if (summary.hasBegun)
        value["bg"] = 1;
    return compactJson(value);
}

job_summary summaryFrom(const std::string &text)
{
    using namespace large_json;
    const auto value = parseObject(text);
    if (numberOr0(value, "v") != SummaryVersion)
        throw error(error_kind::BadRequest, "job summary: unknown version");
    const auto state = jobStateNamed(large_json::text(value, "s"));
    if (!state)
        throw error(error_kind::BadRequest, "job summary: unknown state");
    return {{large_json::text(value, "o"), numberUpTo(value, "i", MaxCounter)},
            *state,
            large_json::text(value, "q"),
            numberOr0(value, "n") != 0,
            numberOr0(value, "bg") != 0};
}

} // namespace zinniabarrow::jobs
