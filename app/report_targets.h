// The entries that an agent reports to: which may be sent a report now, and which have heard of an
// epoch of its worker. Decisions only.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace zinniabarrow {

class entry_links
{
public:
    void seen(const std::string &entry, const std::string &address);
    void gone(const std::string &entry);

    std::vector<std::string> names() const; // in order
    std::vector<std::string> addresses() const;
    const std::string &addressOf(const std::string &entry) const; // throws for one not seen

    // False: the entry is not known, or a report has no answer yet; another is wanted after it.
    bool begin(const std::string &entry);
    // The report that was out has its answer, or never will. False: the entry is gone.
    bool ended(const std::string &entry);
    void told(const std::string &entry, std::int64_t epoch); // it answered a report with this epoch
    bool wantsAnother(const std::string &entry) const;       // something changed meanwhile
    bool waitFor(std::int64_t epoch) const; // some entry has not answered a report with it

private:
    struct entry_link
    {
        std::string address;
        std::int64_t toldEpoch = 0; // it answered a report with this epoch
        bool out = false;           // a report has no answer yet
        bool again = false;         // something changed meanwhile
    };

    std::map<std::string, entry_link> m_entries;
};

} // namespace zinniabarrow
