#include "jobs/report_interval.h"

namespace zinniabarrow::jobs {

milliseconds reportInterval(std::size_t workers, std::int64_t millicores)
{
    constexpr std::int64_t ReportCostUs = 60; // processor time for a report and its answer
    constexpr std::int64_t ShareDivisor = 10;
    constexpr std::int64_t WholeCore = 1000;
    const auto processor = millicores > 0 ? millicores : WholeCore;
    const auto busyUs = static_cast<std::int64_t>(workers) * ReportCostUs;
    const std::chrono::duration<double, std::micro> interval(
            static_cast<double>(busyUs * ShareDivisor * WholeCore)
            / static_cast<double>(processor));
    return std::chrono::ceil<milliseconds>(interval);
}

} // namespace zinniabarrow::jobs
