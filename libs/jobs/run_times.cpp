#include "jobs/run_times.h"

namespace zinniabarrow::jobs {

void run_times::recordDone(const step_context & /*step*/, milliseconds /*duration*/) { }

std::int64_t run_times::quantileMs(const step_context &step, double /*share*/) const
{
    return step.estimateMs;
}

} // namespace zinniabarrow::jobs
