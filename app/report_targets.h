// The entries that an agent reports to: which may be sent a report now, and which have heard of an
// epoch of its worker. Decisions only.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace zinniabarrow {

class report_targets
{
public:
    void setAddress(const std::string &entry, const std::string &address);
    void removeEntry(const std::string &entry);

    std::vector<std::string> names() const; // in order
    std::vector<std::string> addresses() const;
    const std::string &addressOf(const std::string &entry) const; // throws for one not seen

    // False: the entry is not known, or a report has no answer yet; another is wanted after it.
    bool tryBeginReport(const std::string &entry);
    // The report that was out has its answer, or never will. False: the entry is gone.
    bool endReport(const std::string &entry);
    void acknowledgeEpoch(const std::string &entry,
                          std::int64_t epoch);               // it answered a report with this epoch
    bool needsAnotherReport(const std::string &entry) const; // something changed meanwhile
    bool
    isEpochUnacknowledged(std::int64_t epoch) const; // some entry has not answered a report with it

private:
    struct report_target
    {
        std::string address;
        std::int64_t acknowledgedEpoch = 0; // it answered a report with this epoch
        bool isReportInFlight = false;      // a report has no answer yet
        bool needsAnother = false;          // something changed meanwhile
    };

    std::map<std::string, report_target> m_entries;
};

} // namespace zinniabarrow
