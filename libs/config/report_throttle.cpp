#include "config/report_throttle.h"

namespace zinniabarrow::config {

bool report_throttle::isDue(const std::string &receiver, const generation_report &report,
                            time_point now) const
{
    const auto known = m_acknowledged.find(receiver);
    return known == m_acknowledged.end() || now >= known->second.repeatAt
           || known->second.generation != report.generation
           || known->second.digest != report.digest;
}

void report_throttle::recordAnswer(const std::string &receiver, const generation_report &report,
                                   time_point now)
{
    m_acknowledged[receiver] = {report.generation, report.digest, now + m_repeatInterval};
}

} // namespace zinniabarrow::config
