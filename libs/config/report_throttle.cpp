#include "config/report_throttle.h"

namespace zinniabarrow::config {

bool report_pace::isDue(const std::string &receiver, const generation_report &report,
                        time_point now) const
{
    const auto known = m_known.find(receiver);
    return known == m_known.end() || now >= known->second.repeatAt
           || known->second.generation != report.generation
           || known->second.digest != report.digest;
}

void report_pace::answered(const std::string &receiver, const generation_report &report,
                           time_point now)
{
    m_known[receiver] = {report.generation, report.digest, now + m_repeatEvery};
}

} // namespace zinniabarrow::config
