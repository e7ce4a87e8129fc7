// Simulates one admission controller in virtual time, up to more requests than its upstream can
// serve.
#pragma once

#include <map>
#include <string>

#include "request/admission.h"

namespace zinniabarrow {

using namespace request;

struct overload_result
{
    int onTime = 0; // completed before the caller's deadline
    int late = 0;   // completed after it
    int refused = 0;
    std::map<std::string, int> onTimeByTeam;
};

// Simulates Poisson arrivals of several teams, exponential service times with a mean of 20 ms and
// callers with a deadline of 200 ms. 8 slots by default. Team names must not contain digits:
// request ids are the name and a number.
overload_result runOverload(const std::map<std::string, double> &perSecondByTeam, seconds length,
                            const admission_settings &settings = {});

} // namespace zinniabarrow
