#include "scattered_gaps_trace.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "base/random.h"

namespace zinniabarrow::bench {

namespace {

constexpr std::int64_t SizeStep = 50; // millicores
constexpr int MinTasks = 2;
constexpr int MaxTasks = 10;
constexpr int Images = 5;

double drawExponential(random_generator &random, double mean)
{
    return -mean * std::log(1 - drawUniform(random));
}

trace_job drawJob(random_generator &random, const gap_site &site, double meanStay)
{
    const auto steps = (site.maxTask - site.minTask) / SizeStep + 1;
    trace_job job;
    job.tasks = MinTasks
                + static_cast<int>(
                        drawIndex(random, static_cast<std::size_t>(MaxTasks - MinTasks + 1)));
    job.millicores = site.minTask
                     + SizeStep
                               * static_cast<std::int64_t>(
                                       drawIndex(random, static_cast<std::size_t>(steps)));
    const bool isApart = drawIndex(random, 2) == 0;
    job.maxPerWorker = isApart ? 1 + static_cast<int>(drawIndex(random, 2)) : 0;
    job.image = static_cast<int>(drawIndex(random, Images));
    job.endsAt = drawExponential(random, meanStay); // after its arrival, so far
    return job;
}

// A job arrives once the processors asked for leave room for it under the load: an arrival process
// without this bound would at times ask for more than there is, and tasks would wait for that
// reason. The first jobs arrive together.
std::vector<trace_job> drawJobs(random_generator &random, const gap_site &site,
                                const trace_settings &settings, std::int64_t limit)
{
    std::vector<trace_job> jobs;
    std::vector<trace_job> present;
    std::int64_t askedFor = 0;
    bool isFirstFill = true;
    for (double now = 0; now < settings.seconds;) {
        auto next = drawJob(random, site, settings.meanStay);
        const auto size = next.tasks * next.millicores;
        while (askedFor + size > limit && !present.empty()) {
            const auto first = std::min_element(
                    present.begin(), present.end(),
                    [](const auto &left, const auto &right) { return left.endsAt < right.endsAt; });
            now = std::max(now, first->endsAt);
            askedFor -= first->tasks * first->millicores;
            present.erase(first);
            isFirstFill = false;
        }
        next.arrivesAt = now;
        next.endsAt += now;
        askedFor += size;
        present.push_back(next);
        jobs.push_back(next);
        now += isFirstFill ? 0 : drawExponential(random, settings.meanJobInterval);
    }
    return jobs;
}

std::vector<worker_absence> drawAbsences(random_generator &random, int workers,
                                         const trace_settings &settings)
{
    std::vector<worker_absence> absences;
    std::vector<double> backAt(static_cast<std::size_t>(workers), 0);
    double now = 0;
    while ((now += drawExponential(random, settings.meanLeaveInterval)) < settings.seconds) {
        const auto worker = drawIndex(random, backAt.size());
        const double back = now + drawExponential(random, settings.meanAbsence);
        if (backAt[worker] > now)
            continue; // away already
        backAt[worker] = back;
        absences.push_back({static_cast<int>(worker), now, back});
    }
    return absences;
}

} // namespace

std::vector<gap_site> gapSites()
{
    return {{"16 cores, tasks up to 8", 24, {16'000}, 2'000, 8'000},
            {"32 and 48 cores, tasks up to 10", 24, {32'000, 48'000}, 2'800, 10'000},
            {"32 and 48 cores, tasks up to 10", 61, {32'000, 48'000}, 2'800, 10'000}};
}

gap_trace makeTrace(const gap_site &site, const trace_settings &settings)
{
    random_generator random(settings.seed);
    gap_trace trace;
    trace.seconds = settings.seconds;
    for (int worker = 0; worker < site.workers; ++worker)
        trace.capacities.push_back(
                site.capacities[static_cast<std::size_t>(worker) % site.capacities.size()]);
    const auto total =
            std::accumulate(trace.capacities.begin(), trace.capacities.end(), std::int64_t{0});
    const auto limit = static_cast<std::int64_t>(settings.load * static_cast<double>(total));
    trace.jobs = drawJobs(random, site, settings, limit);
    trace.absences = drawAbsences(random, site.workers, settings);
    return trace;
}

} // namespace zinniabarrow::bench
