#include "app/report_targets.h"

#include <algorithm>

#include "base/hash.h"

namespace zinniabarrow {

void report_targets::setAddress(const std::string &entry, const std::string &address)
{
    auto &target = m_targets[entry];
    target.address = address;
    target.wantsReports = true;
}

void report_targets::removeEntry(const std::string &entry)
{
    m_targets.erase(entry);
}

std::vector<std::string> report_targets::names() const
{
    std::vector<std::string> names;
    for (const auto &[name, target] : m_targets)
        names.push_back(name);
    return names;
}

std::vector<std::string> report_targets::addresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[name, target] : m_targets)
        addresses.push_back(target.address);
    return addresses;
}

const std::string &report_targets::addressOf(const std::string &entry) const
{
    return m_targets.at(entry).address;
}

bool report_targets::isReportDue(const std::string &entry, time_point now) const
{
    const auto found = m_targets.find(entry);
    return found != m_targets.end() && found->second.wantsReports
           && now - found->second.lastBegunAt >= found->second.minReportInterval;
}

bool report_targets::tryBeginReport(const std::string &entry, time_point now)
{
    const auto found = m_targets.find(entry);
    if (found == m_targets.end())
        return false;
    auto &target = found->second;
    if (target.isReportInFlight) {
        target.needsAnother = true;
        return false;
    }
    target.isReportInFlight = true;
    target.needsAnother = false;
    target.hasRequestedSinceBegun = false;
    target.lastBegunAt = now;
    return true;
}

bool report_targets::endReport(const std::string &entry)
{
    const auto found = m_targets.find(entry);
    if (found == m_targets.end())
        return false;
    found->second.isReportInFlight = false;
    return true;
}

std::vector<std::string> report_targets::namesForRound(std::uint64_t round) const
{
    constexpr std::uint64_t SeldomInterval = 5; // rounds
    std::vector<std::string> names;
    for (const auto &[name, target] : m_targets) {
        const bool isOverdue = target.needsAnother && !target.isReportInFlight;
        if (target.wantsReports || isOverdue || (round + stableHash(name)) % SeldomInterval == 0)
            names.push_back(name);
    }
    return names;
}

void report_targets::setWantsReports(const std::string &entry, bool wantsReports)
{
    const auto found = m_targets.find(entry);
    if (found == m_targets.end())
        return;
    const bool isOutdated = !wantsReports && found->second.hasRequestedSinceBegun;
    if (!isOutdated)
        found->second.wantsReports = wantsReports;
}

void report_targets::noteReportRequest(const std::string &entry)
{
    const auto found = m_targets.find(entry);
    if (found == m_targets.end())
        return;
    auto &target = found->second;
    target.hasRequestedSinceBegun = target.isReportInFlight;
    if (target.wantsReports)
        return;
    target.wantsReports = true;
    target.needsAnother = target.needsAnother || target.isReportInFlight;
}

void report_targets::setMinReportInterval(const std::string &entry, milliseconds interval)
{
    const auto found = m_targets.find(entry);
    if (found != m_targets.end())
        found->second.minReportInterval = interval;
}

void report_targets::acknowledgeEpoch(const std::string &entry, std::int64_t epoch)
{
    auto &target = m_targets.at(entry);
    target.acknowledgedEpoch = std::max(target.acknowledgedEpoch, epoch);
}

bool report_targets::needsAnotherReport(const std::string &entry) const
{
    const auto found = m_targets.find(entry);
    return found != m_targets.end() && found->second.needsAnother;
}

bool report_targets::isEpochUnacknowledged(std::int64_t epoch) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [epoch](const auto &entry) {
        return entry.second.acknowledgedEpoch < epoch;
    });
}

} // namespace zinniabarrow
