// Remembers which rows could not be read, so that a row is parsed and logged once per version of it
// and not each time that it is looked at. Decides only; the caller reads the rows.
//
// Order of calls: isDue() before a row is read; isKnown() when it was read; then noteUnreadable()
// or noteReadable().
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace zinniabarrow {

class unreadable_rows
{
public:
    // Another writer may repair a row; it is read again after this time to learn its version.
    static constexpr milliseconds ReadInterval{10'000};

    bool isDue(const std::string &row, time_point now) const;
    // The row still has the version that could not be read; it is due again after ReadInterval.
    bool isKnown(const std::string &row, std::int64_t version, time_point now);
    void noteUnreadable(const std::string &row, std::int64_t version, time_point now);
    void noteReadable(const std::string &row) { m_rows.erase(row); }
    std::size_t size() const { return m_rows.size(); }

private:
    struct unreadable_row
    {
        std::int64_t version = 0;
        time_point readAgainAt{};
    };

    std::map<std::string, unreadable_row> m_rows;
};

} // namespace zinniabarrow
