#include "jobs/report_interval.h"

#include <algorithm>

namespace zinniabarrow::jobs {

namespace {

constexpr std::int64_t ReportCostUs = 60; // processor time for a report and its answer
constexpr std::int64_t WholeCore = 1000;  // 1/1000 core

std::int64_t processorOf(std::int64_t millicores)
{
    return millicores > 0 ? millicores : WholeCore;
}

} // namespace

milliseconds reportInterval(std::size_t workers, std::int64_t millicores)
{
    constexpr std::int64_t ShareDivisor = 10;
    const auto processor = processorOf(millicores);
    const auto busyUs = static_cast<std::int64_t>(workers) * ReportCostUs;
    const std::chrono::duration<double, std::micro> interval(
            static_cast<double>(busyUs * ShareDivisor * WholeCore)
            / static_cast<double>(processor));
    return std::chrono::ceil<milliseconds>(interval);
}

std::size_t affordableReports(milliseconds time, std::int64_t millicores)
{
    constexpr std::int64_t ShareDivisor = 2;
    const auto shareUs = std::chrono::microseconds(time).count() / ShareDivisor;
    const auto reports = shareUs * processorOf(millicores) / (WholeCore * ReportCostUs);
    return static_cast<std::size_t>(std::max<std::int64_t>(reports, 1));
}

} // namespace zinniabarrow::jobs
