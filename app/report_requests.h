// Decides which agents an entry requests reports from. An entry that places no tasks gets a report
// only in some rounds, see report_targets.h. When it begins to place tasks, an agent would learn of
// that from the answer to its next report, up to five rounds later. Sends nothing itself.
//
// Order of calls: recordReport() for each report, takeDue() at a fixed interval.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace zinniabarrow {

class report_requests
{
public:
    // The worker's agent has reported; the answer says whether this entry wants reports.
    void recordReport(const std::string &worker, bool wantsReports, time_point now);
    // Returns the workers whose agents are to be asked now, at most `limit`, those first that have
    // been due for the longest. Each is due again a while later, until its agent reports in each
    // round or has been silent for long. To be called only while this entry wants reports.
    std::vector<std::string> takeDue(std::size_t limit, time_point now);

private:
    // A worker whose agent may report only in some rounds.
    struct seldom_reporter
    {
        time_point askAt{};
        time_point forgetAt{};
    };

    std::map<std::string, seldom_reporter> m_reporters;
};

} // namespace zinniabarrow
