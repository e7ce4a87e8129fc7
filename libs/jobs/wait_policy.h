// Decides whether a task takes the place that there is, or waits for a better one: a worker on
// which it makes no serving run late, or one near its data or its group (on the same rack).
//
// beginRound() when planning begins. For each task that finds no good place: decideInterference()
// or decideDistance(). recordFound() when a good place came free after a wait, and recordRun() when
// a run with its data on a rack is done: from these follow the expected wait and the loss by
// distance.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "base/time.h"

namespace zinniabarrow::jobs {

// Why a task waits or goes; named in the log and in a metric.
enum class wait_reason {
    // It waits:
    AvoidsInterference, // its job's objective leaves time, or the service has little to spare
    PlaceExpected,      // a near place is expected to come free before the distant run would gain
    OnlyNearInTime,     // a distant run would miss the objective, a near one can meet it
    // It goes:
    FirstRun,   // nothing of its job runs: callers would consider the job lost
    SlackSpent, // waiting on would make its job late
    Late,       // its job is late in any case
    NotWorthIt, // a near place is expected too late to pay for the wait
    WaitOver,   // it has waited as long as the better place would have saved, or as it may
};
std::string_view nameOf(wait_reason reason); // as in the log

struct go_now
{
    wait_reason reason;
};
struct wait_until
{
    time_point deadline; // the decision holds until then, unless what is known changes
    wait_reason reason;
};
using wait_decision = std::variant<go_now, wait_until>;

struct wait_settings
{
    milliseconds maxInterferenceWait{60'000};       // while most of the service is in use
    milliseconds maxInterferenceWaitWhenIdle{2500}; // otherwise, for a job of which nothing runs
};

// What is known of the waiting tasks of a step.
struct waiting_tasks
{
    time_point since{};               // when planning last found no waiting task of the step
    std::int64_t slackMs = 0;         // of the job, ms; see urgency.h
    std::int64_t runMs = 0;           // expected run time of a task at a good place, ms
    bool hasRun = false;              // a run of the job is on a worker that reports
    bool isLongRunning = false;       // each task counts by itself
    bool isServiceMostlyUsed = false; // by reservations
};

class wait_policy
{
public:
    explicit wait_policy(const wait_settings &settings = {});

    // `lateShare`: of the owner's best-effort jobs that wait now, those that are late in any case.
    void beginRound(double lateShare);

    // Whether a best-effort task goes where it makes serving runs late.
    wait_decision decideInterference(const waiting_tasks &tasks, time_point now) const;
    // By how much the load of serving runs is expected to rise while a task runs beside them, and
    // how much of that they must be able to bear for their worker to count as a good place.
    static double expectedLoadRise(std::int64_t runMs);
    double loadMargin(const waiting_tasks &tasks) const;

    // Whether the next task of a step goes to another rack than `rack`, which is too full for it
    // now. Call it once in a round for each task that finds none there.
    wait_decision decideDistance(const waiting_tasks &tasks, const std::string &rack,
                                 time_point now);
    // A task that had to wait got a place on the rack.
    void recordFound(const std::string &rack);
    // A run was done whose data is on a rack; `stretch` is its run time over its estimate.
    void recordRun(bool isNear, double stretch);
    // Run time away from the data's rack over the run time near it, as observed.
    double farFactor() const;

private:
    // Places that come free on a rack while tasks wait for them.
    struct rack_turnover
    {
        double found = 0;       // places that tasks got after a wait, older ones count less
        double waitedMs = 0;    // time during which tasks waited for them, ms, likewise
        int queue = 0;          // tasks that wait for a place in this round
        time_point waitingAt{}; // when a wait was last seen
    };

    // Mean of the logarithm of run time over estimate.
    struct stretch_average
    {
        double logMean = 0;
        double weight = 0; // runs, at most MaxWeight

        void add(double stretch);
    };

    static void observe(rack_turnover &turnover, time_point now);
    static double expectedWaitMs(const rack_turnover &turnover);

    wait_settings m_settings;
    double m_lateShare = 0; // of the best-effort jobs that wait
    std::map<std::string, rack_turnover> m_racks;
    stretch_average m_near;
    stretch_average m_far;
};

} // namespace zinniabarrow::jobs
