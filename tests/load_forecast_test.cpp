// Tests the prediction of a serving run's load two seconds ahead.
#include <cmath>
#include <random>

#include <criterion/criterion.h>

#include "jobs/load_forecast.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

const load_forecast::run_key Run{{"site", 0, 0, 0}, 1};
constexpr int SamplesPerSecond = 2;
constexpr int HorizonSamples = 2 * SamplesPerSecond;

// A load of 0.42 that varies by half with a period of `periodSeconds`, measured with noise.
class periodic_load
{
public:
    explicit periodic_load(double periodSeconds)
        : m_period(periodSeconds)
    { }

    double at(int sample) const
    {
        const double periods = sample / (m_period * SamplesPerSecond);
        return 0.42 * (1 + 0.5 * std::sin(periods * 2 * M_PI));
    }
    double measuredAt(int sample)
    {
        std::normal_distribution<double> noise(0, 0.02);
        return at(sample) + noise(m_random);
    }

private:
    double m_period;
    std::mt19937 m_random{7};
};

double peakOf(const periodic_load &load, int from)
{
    return std::max(load.at(from), load.at(from + HorizonSamples));
}

} // namespace

// Guards against late answers after a batch run was placed beside a service at its lowest load:
// seconds later, with the run still active, the load of the service is at its peak.
Test(load_forecast, a_periodic_load)
{
    for (const double period : {10.0, 20.0}) {
        section(std::to_string(period) + " s", [&] {
            periodic_load load(period);
            load_forecast forecast;
            double error = 0;
            double persistenceError = 0;
            for (int sample = 0; sample < 240; ++sample) {
                const double currentLoad = load.measuredAt(sample);
                forecast.recordLoads({{Run, currentLoad}});
                if (sample < 120)
                    continue;
                error += std::abs(forecast.peakLoadAhead(Run, currentLoad) - peakOf(load, sample));
                persistenceError += std::abs(currentLoad - peakOf(load, sample));
            }
            check(error < 0.55 * persistenceError);
        });
    }
}

Test(load_forecast, a_constant_load_stays)
{
    load_forecast forecast;
    for (int sample = 0; sample < 40; ++sample)
        forecast.recordLoads({{Run, 0.4}});
    check(std::abs(forecast.peakLoadAhead(Run, 0.4) - 0.4) < 0.02);
}

Test(load_forecast, a_run_that_has_just_started)
{
    load_forecast forecast;
    section("only its present load is known",
            [&] { check(forecast.peakLoadAhead(Run, 0.3) == 0.3); });
    section("the history of a run is dropped with the run", [&] {
        for (int sample = 0; sample < 40; ++sample)
            forecast.recordLoads({{Run, sample % 8 < 4 ? 0.2 : 0.6}});
        forecast.recordLoads({});
        check(forecast.peakLoadAhead(Run, 0.3) == 0.3);
    });
}
