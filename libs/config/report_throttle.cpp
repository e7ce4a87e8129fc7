#include "config/report_throttle.h"

namespace zinniabarrow::config {

bool report_throttle::isDue(const std::string &receiver, const generation_report &report,
                            time_point now) const
{
    const auto acknowledged = m_acknowledged.find(receiver);
    return acknowledged == m_acknowledged.end() || now >= acknowledged->second.repeatAt
           || acknowledged->second.generation != report.generation
           || acknowledged->second.digest != report.digest;
}

void report_throttle::recordAnswer(const std::string &receiver, const generation_report &report,
                                   time_point now)
{
    m_acknowledged[receiver] = {report.generation, report.digest, now + m_repeatInterval};
}

} // namespace zinniabarrow::config
