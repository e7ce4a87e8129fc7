#include "soak/job_bodies.h"

#include "base/json.h"

namespace zinniabarrow::soak {

namespace {

constexpr int MemoryMb = 100; // of each task
constexpr int LongRunningTargetMs = 150;

Json::Value makeStep(int count, const load_options &options)
{
    Json::Value step(Json::objectValue);
    step["count"] = count;
    step["cpu"] = options.taskMillicores;
    step["mem-mb"] = MemoryMb;
    step["estimate-ms"] = options.taskEstimateMs;
    return step;
}

// Each step follows the one before it; the last follows all.
Json::Value makeChain(const load_options &options, random_source &random)
{
    Json::Value steps(Json::arrayValue);
    const int stepCount = random.between(2, 4);
    for (int index = 0; index < stepCount; ++index) {
        auto step = makeStep(random.between(1, 3), options);
        for (int earlier = index == stepCount - 1 ? 0 : index - 1; earlier < index; ++earlier) {
            if (earlier >= 0)
                step["after"].append(earlier);
        }
        steps.append(step);
    }
    return steps;
}

Json::Value makeFlaggedStep(const char *flag, int count, const load_options &options)
{
    auto step = makeStep(count, options);
    step[flag] = true;
    return step;
}

} // namespace

std::string makeJobBody(job_kind kind, const load_options &options, std::int64_t nowUnixMs,
                        random_source &random)
{
    Json::Value body(Json::objectValue);
    body["spec"] = "soak";
    auto &steps = body["steps"] = Json::Value(Json::arrayValue);
    switch (kind) {
    case job_kind::SingleTask:
        steps.append(makeStep(1, options));
        break;
    case job_kind::Chain:
        steps = makeChain(options, random);
        break;
    case job_kind::Gang:
        steps.append(makeFlaggedStep("gang", random.between(2, 3), options));
        break;
    case job_kind::Speculative:
        steps.append(makeFlaggedStep("speculative", 2, options));
        break;
    case job_kind::Checkpointing:
        steps.append(makeFlaggedStep("checkpointing", random.between(1, 2), options));
        break;
    case job_kind::LongRunning:
        steps.append(makeFlaggedStep("long-running", 2, options));
        steps[0]["image"] = "site";
        steps[0]["target-ms"] = LongRunningTargetMs;
        break;
    case job_kind::Scheduled:
        steps.append(makeStep(1, options));
        body["run-count"] = random.between(2, 3);
        body["initial-delay-ms"] = Json::Int64(nowUnixMs + random.between(500, 3000));
        body["interval-ms"] = random.between(500, 1500);
        break;
    }
    return compactJson(body);
}

} // namespace zinniabarrow::soak
