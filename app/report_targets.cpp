#include "app/report_targets.h"

#include <algorithm>

namespace zinniabarrow {

void entry_links::seen(const std::string &entry, const std::string &address)
{
    m_entries[entry].address = address;
}

void entry_links::gone(const std::string &entry)
{
    m_entries.erase(entry);
}

std::vector<std::string> entry_links::names() const
{
    std::vector<std::string> names;
    for (const auto &[name, link] : m_entries)
        names.push_back(name);
    return names;
}

std::vector<std::string> entry_links::addresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[name, link] : m_entries)
        addresses.push_back(link.address);
    return addresses;
}

const std::string &entry_links::addressOf(const std::string &entry) const
{
    return m_entries.at(entry).address;
}

bool entry_links::begin(const std::string &entry)
{
    const auto found = m_entries.find(entry);
    if (found == m_entries.end())
        return false;
    auto &link = found->second;
    if (link.out) {
        link.again = true;
        return false;
    }
    link.out = true;
    link.again = false;
    return true;
}

bool entry_links::ended(const std::string &entry)
{
    const auto found = m_entries.find(entry);
    if (found == m_entries.end())
        return false;
    found->second.out = false;
    return true;
}

void entry_links::told(const std::string &entry, std::int64_t epoch)
{
    auto &link = m_entries.at(entry);
    link.toldEpoch = std::max(link.toldEpoch, epoch);
}

bool entry_links::wantsAnother(const std::string &entry) const
{
    const auto found = m_entries.find(entry);
    return found != m_entries.end() && found->second.again;
}

bool entry_links::waitFor(std::int64_t epoch) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [epoch](const auto &entry) { return entry.second.toldEpoch < epoch; });
}

} // namespace zinniabarrow
