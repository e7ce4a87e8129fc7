// What waits for a write of the job book: each under a token that the book gives back.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace zinniabarrow {

class write_waits
{
public:
    // Stored by this process; false: another one has what was to be written.
    using outcome_known = std::function<void(bool isStored)>;

    std::int64_t add(outcome_known known)
    {
        const auto token = m_next++;
        m_waiting.emplace(token, std::move(known));
        return token;
    }

    // Ignores a token that is not, or no longer, waited for.
    void resolve(std::int64_t token, bool isStored)
    {
        auto found = m_waiting.extract(token);
        if (!found.empty())
            found.mapped()(isStored);
    }

private:
    std::map<std::int64_t, outcome_known> m_waiting;
    std::int64_t m_next = 1;
};

} // namespace zinniabarrow
