// One admission under more requests than its upstream can serve, in virtual time.
#pragma once

#include <map>
#include <string>

#include "request/admission.h"

namespace zinniabarrow {

using namespace request;

struct overload_result
{
    int onTime = 0; // ended before the caller's deadline
    int late = 0;   // ended after it
    int refused = 0;
    std::map<std::string, int> onTimeByTeam;
};

// Poisson arrivals of several teams, exponential service of 20 ms at 8 slots, callers that wait for
// 200 ms. Team names hold no digits.
overload_result runOverload(const std::map<std::string, double> &perSecondByTeam, seconds length,
                            const admission_settings &settings = {});

} // namespace zinniabarrow
